package org.masticshelf.standins.instancelist;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import org.xnio.IoUtils;

import org.masticshelf.kernel.port.InstanceList;
import org.masticshelf.standins.StandInCommand;
import org.masticshelf.standins.web.WebServer;

/**
 * Serves a list of instances as JSON: {@code GET /instances} reads, {@code PUT
 * /instances} replaces. {@code POST /fault/down} closes connections without an answer,
 * {@code POST /fault/rubbish} answers no JSON, {@code POST /fault/none} ends both.
 * <p>
 * Safe for use by several threads.
 */
public final class InstanceListServer implements StandInCommand.Running {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final TypeReference<List<InstanceList.Instance>> LIST_TYPE = new TypeReference<>() {
	};

	private final WebServer server;

	private volatile String list = "[]";

	private volatile Fault fault = Fault.NONE;

	private InstanceListServer(String host, int port) {
		this.server = WebServer.start(host, port, this::handle);
	}

	/**
	 * Starts a server with an empty list.
	 * @param host the IP number to listen on
	 * @param port the port, 0 for any
	 * @return the running server
	 */
	public static InstanceListServer start(String host, int port) {
		return new InstanceListServer(host, port);
	}

	/**
	 * Replaces the list.
	 * @param json the list as a JSON array
	 * @throws JsonProcessingException if it is no list of instances
	 */
	public void replace(String json) throws JsonProcessingException {
		MAPPER.readValue(json, LIST_TYPE);
		this.list = json;
	}

	/**
	 * Switches a fault.
	 * @param value the fault from now on
	 */
	public void setFault(Fault value) {
		this.fault = value;
	}

	@Override
	public String address() {
		return this.server.address();
	}

	@Override
	public void close() {
		this.server.close();
	}

	private void handle(HttpServerExchange exchange) throws IOException {
		switch (exchange.getRequestPath()) {
			case "/instances" -> instances(exchange);
			case "/fault/none" -> this.fault = Fault.NONE;
			case "/fault/down" -> this.fault = Fault.DOWN;
			case "/fault/rubbish" -> this.fault = Fault.RUBBISH;
			default -> exchange.setStatusCode(StatusCodes.NOT_FOUND);
		}
	}

	private void instances(HttpServerExchange exchange) throws IOException {
		if (exchange.getRequestMethod().equals(Methods.PUT)) {
			put(exchange, new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
			return;
		}
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		switch (this.fault) {
			case NONE -> exchange.getResponseSender().send(this.list);
			case DOWN -> IoUtils.safeClose(exchange.getConnection());
			case RUBBISH -> exchange.getResponseSender().send("[{\"identifier\": ");
		}
	}

	private void put(HttpServerExchange exchange, String json) {
		try {
			replace(json);
		}
		catch (JsonProcessingException ex) {
			exchange.setStatusCode(StatusCodes.BAD_REQUEST);
			exchange.getResponseSender().send(ex.getOriginalMessage());
		}
	}

	/** What goes wrong. */
	public enum Fault {

		/** Nothing. */
		NONE,

		/** Connections are closed without an answer. */
		DOWN,

		/** Answers are cut short. */
		RUBBISH

	}

}
