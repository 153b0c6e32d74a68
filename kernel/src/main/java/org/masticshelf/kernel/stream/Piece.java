package org.masticshelf.kernel.stream;

/**
 * Represents the position and length of a piece of a streamed answer.
 * <p>
 * Immutable.
 *
 * @param identity the identity of the request that the piece answers
 * @param firstToken the number of tokens of the answer before this piece, or
 * {@link #UNNUMBERED} if the engine does not number them
 * @param tokens the number of tokens in the piece, 0 for a piece without text
 */
public record Piece(String identity, long firstToken, int tokens) {

	/** The position of a piece whose engine does not number tokens. */
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
	 * @param tokens the number of tokens in the piece
	 * @return the piece
	 */
	public static Piece unnumbered(String identity, int tokens) {
		return new Piece(identity, UNNUMBERED, tokens);
	}

}
