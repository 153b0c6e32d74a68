package org.masticshelf.serving.request;

import java.util.List;

import org.masticshelf.kernel.serving.ServedRequest.Header;

/**
 * The result of sending a request to an endpoint. Implementations are immutable.
 */
sealed interface ExchangeResult {

	/**
	 * No connection could be established, so nothing was sent.
	 *
	 * @param reason the cause
	 */
	record Unreached(String reason) implements ExchangeResult {
	}

	/**
	 * The endpoint reported that the request did not run.
	 *
	 * @param status the HTTP status of the answer
	 * @param lacking whether the endpoint lacks what the request needs, or another
	 * endpoint answers at the address
	 */
	record NotRun(int status, boolean lacking) implements ExchangeResult {
	}

	/**
	 * The endpoint gave a complete answer that was not yet delivered to the caller.
	 *
	 * @param status the HTTP status
	 * @param headers the headers to forward
	 * @param body the complete body
	 */
	record Answered(int status, List<Header> headers, byte[] body) implements ExchangeResult {
	}

	/**
	 * A complete stream, or a long answer in parts, was delivered to the caller.
	 *
	 * @param status the HTTP status
	 */
	record Streamed(int status) implements ExchangeResult {
	}

	/**
	 * No complete answer was received, and the request may have run.
	 *
	 * @param reason the cause
	 * @param kind what ended the exchange
	 */
	record Lost(String reason, Kind kind) implements ExchangeResult {

		/**
		 * Returns whether a timeout ended the exchange.
		 * @return whether it timed out
		 */
		boolean timedOut() {
			return this.kind == Kind.TIMED_OUT;
		}

		/** What ended an exchange without a complete answer. */
		enum Kind {

			/** No byte arrived in time. */
			TIMED_OUT,

			/** The connection ended or was reset, as when the endpoint crashes. */
			DISCONNECTED,

			/** The endpoint sent bytes that are no usable answer. */
			UNUSABLE

		}

	}

}
