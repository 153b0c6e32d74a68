package org.masticshelf.bench.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.jspecify.annotations.Nullable;

/**
 * Makes a trace of an hour from a seed: two large organisations with steady traffic on a
 * few models, three small ones that wake idle models in bursts at several entry
 * instances, one large one at five times its rate for a while, an endpoint lost and the
 * store slow.
 * <p>
 * Invariant: equal deployments and seeds lead to equal traces. Used by one thread.
 */
public final class TraceMaker {

	private static final long MINUTE = 60_000;

	private static final long DURATION = 60 * MINUTE;

	private static final long MOVE_MILLISECONDS = 20_000;

	private static final int ENDPOINT_GIGABYTES = 80;

	private static final int SLOTS = 8;

	private static final int HOT_MODELS = 6;

	private static final double SHARE_OF_RATE = 0.7;

	private static final double MEAN_COST_TOKENS = 756;

	private static final long OVERLOAD_FROM = 45 * MINUTE;

	private static final long OVERLOAD_UNTIL = 53 * MINUTE;

	private static final int OVERLOAD_FACTOR = 5;

	private final Deployment deployment;

	private final long seed;

	private final Random random;

	private final List<TraceEvent> events = new ArrayList<>();

	private long nextIdentifier;

	/**
	 * Creates a maker.
	 * @param deployment the deployment
	 * @param seed the seed
	 */
	public TraceMaker(Deployment deployment, long seed) {
		this.deployment = deployment;
		this.seed = seed;
		this.random = new Random(seed);
	}

	/**
	 * Makes the trace.
	 * @return the trace
	 */
	public Trace make() {
		List<TraceHeader.ModelRow> models = models();
		List<TraceHeader.OrganisationRow> organisations = List.of(
				new TraceHeader.OrganisationRow("large-1", 4_000, 40_000, false),
				new TraceHeader.OrganisationRow("large-2", 3_000, 30_000, false),
				new TraceHeader.OrganisationRow("small-1", 400, 12_000, true),
				new TraceHeader.OrganisationRow("small-2", 400, 12_000, true),
				new TraceHeader.OrganisationRow("small-3", 300, 12_000, true));
		TraceHeader header = new TraceHeader(TraceHeader.FORMAT, TraceHeader.VERSION, this.deployment.title(),
				this.seed, DURATION, organisations, models, endpoints(models));
		steady(organisations.get(0), models.subList(0, HOT_MODELS), true, 1, 0, DURATION);
		steady(organisations.get(1), models.subList(HOT_MODELS, 2 * HOT_MODELS), false, 1, 0, OVERLOAD_FROM);
		steady(organisations.get(1), models.subList(HOT_MODELS, 2 * HOT_MODELS), false, OVERLOAD_FACTOR, OVERLOAD_FROM,
				OVERLOAD_UNTIL);
		steady(organisations.get(1), models.subList(HOT_MODELS, 2 * HOT_MODELS), false, 1, OVERLOAD_UNTIL, DURATION);
		organisations.subList(2, 5).forEach((small) -> bursts(small, models.subList(2 * HOT_MODELS, models.size())));
		faults(header.endpoints());
		this.events.sort(Comparator.comparingLong(TraceEvent::at));
		return new Trace(header, this.events);
	}

	private List<TraceHeader.ModelRow> models() {
		List<TraceHeader.ModelRow> models = new ArrayList<>();
		for (int index = 0; index < this.deployment.models(); index++) {
			List<String> adapters = new ArrayList<>();
			for (int adapter = index; adapter < this.deployment.adapters(); adapter += this.deployment.models()) {
				adapters.add("adapter-" + adapter);
			}
			models.add(new TraceHeader.ModelRow("model-" + index, 8 + 4 * this.random.nextInt(5), adapters));
		}
		return models;
	}

	private List<TraceHeader.EndpointRow> endpoints(List<TraceHeader.ModelRow> models) {
		List<TraceHeader.EndpointRow> endpoints = new ArrayList<>();
		for (int index = 0; index < Deployment.ENDPOINTS; index++) {
			List<String> onDisk = models.stream()
				.filter((model) -> this.random.nextInt(4) == 0)
				.map(TraceHeader.ModelRow::name)
				.toList();
			String domain = Deployment.DOMAINS.get(index % Deployment.DOMAINS.size());
			endpoints.add(new TraceHeader.EndpointRow("endpoint-" + index, domain, ENDPOINT_GIGABYTES, SLOTS, onDisk));
		}
		return endpoints;
	}

	private void steady(TraceHeader.OrganisationRow organisation, List<TraceHeader.ModelRow> models, boolean moving,
			int factor, long from, long until) {
		double perSecond = organisation.tokensPerSecond() * SHARE_OF_RATE / MEAN_COST_TOKENS * factor;
		double at = from;
		while (true) {
			at += -Math.log(1 - this.random.nextDouble()) / perSecond * 1_000;
			if (at >= until) {
				return;
			}
			int router = moving ? (int) (at / MOVE_MILLISECONDS) % Deployment.ROUTERS
					: this.random.nextInt(Deployment.ROUTERS);
			int rank = Math.min(this.random.nextInt(models.size()), this.random.nextInt(models.size()));
			request((long) at, organisation, models.get(rank), null, router);
		}
	}

	private void bursts(TraceHeader.OrganisationRow organisation, List<TraceHeader.ModelRow> models) {
		long at = this.random.nextInt((int) MINUTE);
		while (at < DURATION) {
			TraceHeader.ModelRow model = models.get(this.random.nextInt(models.size()));
			String adapter = (!model.adapters().isEmpty() && this.random.nextBoolean())
					? model.adapters().get(this.random.nextInt(model.adapters().size())) : null;
			int size = 3 + this.random.nextInt(8);
			for (int index = 0; index < size; index++) {
				request(at + this.random.nextInt(300), organisation, model, adapter,
						this.random.nextInt(Deployment.ROUTERS));
			}
			at += MINUTE / 2 + this.random.nextInt((int) MINUTE);
		}
	}

	private void request(long at, TraceHeader.OrganisationRow organisation, TraceHeader.ModelRow model,
			@Nullable String adapter, int router) {
		int prompt = 100 + this.random.nextInt(801);
		int requested = 256;
		int output = 32 + this.random.nextInt(225);
		this.events.add(new TraceEvent.Request(at, this.nextIdentifier++, organisation.name(), model.name(), adapter,
				router, prompt, requested, output, 45_000));
	}

	private void faults(List<TraceHeader.EndpointRow> endpoints) {
		String lost = endpoints.get(this.random.nextInt(endpoints.size())).identifier();
		this.events.add(new TraceEvent.EndpointLost(20 * MINUTE, lost));
		this.events.add(new TraceEvent.EndpointBack(25 * MINUTE, lost));
		this.events.add(new TraceEvent.StoreSpeed(33 * MINUTE, 0.33));
		this.events.add(new TraceEvent.StoreSpeed(41 * MINUTE, 1));
	}

}
