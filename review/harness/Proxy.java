import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy whose open channels can go silent for good, without a reset, while new ones work. */
final class Proxy implements AutoCloseable {

	private final ServerSocket listening;

	private final String targetHost;

	private final int targetPort;

	private final Set<Channel> channels = ConcurrentHashMap.newKeySet();

	Proxy(String target) throws IOException {
		this.listening = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
		this.targetHost = target.substring(0, target.indexOf(':'));
		this.targetPort = Integer.parseInt(target.substring(target.indexOf(':') + 1));
		Thread.ofVirtual().start(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.listening.getLocalPort();
	}

	/**
	 * Makes all open channels silent.
	 * @return their number
	 */
	int silence() {
		this.channels.forEach((channel) -> channel.silent = true);
		return this.channels.size();
	}

	private void accept() {
		while (true) {
			try {
				Socket caller = this.listening.accept();
				Socket target = new Socket(this.targetHost, this.targetPort);
				caller.setTcpNoDelay(true);
				target.setTcpNoDelay(true);
				Channel channel = new Channel();
				this.channels.add(channel);
				Thread.ofVirtual().start(() -> pump(channel, caller, target));
				Thread.ofVirtual().start(() -> pump(channel, target, caller));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void pump(Channel channel, Socket from, Socket to) {
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			byte[] buffer = new byte[16 * 1024];
			while (true) {
				int count = in.read(buffer);
				if (channel.silent) {
					// What arrives is lost, and an end isn't passed on.
					if (count < 0) {
						return;
					}
					continue;
				}
				if (count < 0) {
					break;
				}
				out.write(buffer, 0, count);
				out.flush();
			}
		}
		catch (IOException ex) {
			// The end is passed on below.
		}
		if (!channel.silent) {
			this.channels.remove(channel);
			try {
				from.close();
				to.close();
			}
			catch (IOException ex) {
				// Both are closed.
			}
		}
	}

	@Override
	public void close() throws IOException {
		this.listening.close();
	}

	private static final class Channel {

		private volatile boolean silent;

	}

}
