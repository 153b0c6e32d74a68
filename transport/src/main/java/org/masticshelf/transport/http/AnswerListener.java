package org.masticshelf.transport.http;

import java.nio.ByteBuffer;
import java.util.Map;

import org.masticshelf.kernel.port.ExchangeFailure;

/**
 * Receives an HTTP answer while it arrives. Called by one thread at a time; exactly one
 * of {@link #endRequest()} and {@link #recordFailure} is called, last.
 */
public interface AnswerListener {

	/**
	 * Called once before the body.
	 * @param status the HTTP status
	 * @param headers the headers, with lower-case names
	 */
	void head(int status, Map<String, String> headers);

	/**
	 * Called for each piece of the body.
	 * @param piece the bytes, valid only during the call
	 */
	void piece(ByteBuffer piece);

	/** Called when the body has ended as it announced. */
	void end();

	/**
	 * Called when there will be no whole answer.
	 * @param failure where and why the exchange ended
	 */
	void failed(ExchangeFailure failure);

}
