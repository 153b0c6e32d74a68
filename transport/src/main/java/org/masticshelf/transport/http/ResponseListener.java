package org.masticshelf.transport.http;

import java.nio.ByteBuffer;
import java.util.Map;

import org.masticshelf.kernel.port.ExchangeFailure;

/**
 * Receives an HTTP response while it arrives. Called by one thread at a time; the last
 * call is exactly one of {@link #onEnd()} and {@link #onFailure}.
 */
public interface ResponseListener {

	/**
	 * Receives the status and the headers, once, before the body.
	 * @param status the HTTP status code
	 * @param headers the headers, with lower-case names
	 */
	void onHead(int status, Map<String, String> headers);

	/**
	 * Receives the next part of the body.
	 * @param piece the bytes, valid only during the call
	 */
	void onBody(ByteBuffer piece);

	/** Called when the response is complete. */
	void onEnd();

	/**
	 * Called when the exchange fails before the response is complete.
	 * @param failure where and why the exchange failed
	 */
	void onFailure(ExchangeFailure failure);

}
