package org.masticshelf.kernel.stream;

/**
 * A piece of a streamed answer, as far as its place in the answer is concerned.
 * <p>
 * Immutable.
 *
 * @param identity the identity of the request that the piece answers
 * @param firstToken how many tokens of the answer come before this piece, or
 * {@link #UNNUMBERED} if the engine does not number them
 * @param tokens how many tokens the piece holds, 0 for a piece without text
 */
public record Piece(String identity, long firstToken, int tokens) {

	/** The place of a piece whose engine does not number tokens. */
	public static final long UNNUMBERED = -1;

	/**
	 * Creates a piece.
	 */
	public Piece {
		if (tokens < 0) {
			throw new IllegalArgumentException("a piece cannot hold " + tokens + " tokens");
		}
	}

	/**
	 * Creates a piece of an engine that does not number tokens.
	 * @param identity the identity of the request that the piece answers
	 * @param tokens how many tokens it holds
	 * @return the piece
	 */
	public static Piece unnumbered(String identity, int tokens) {
		return new Piece(identity, UNNUMBERED, tokens);
	}

}
