/*
Faults that the engine and service stand-ins share.
*/
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {
	addFaultRoutes, breakConnection, clearFaults, isControlPath, type StandinApp,
} from './standin-server.ts';

/** Faults that every target supports. */
export type TargetFaults = {
	/** Connections are accepted and broken without an answer. */
	down: boolean;
	/** Time for which nothing listens, so that connections are refused. */
	refuseMs: number;
	/** Factor on all service times. */
	slowFactor: number;
	/** Running requests are cut, and the target is cold with a new start id; applied once. */
	restart: boolean;
	/** Time for which an answer is held back although the target runs, or has run, the request. */
	answerLateMs: number;
	/** Number of next answers that carry the id and content of another request. */
	crossAnswers: number;
	loadLagMs: number;
	/** Requests are accepted and never answered. */
	hang: boolean;
};

/** Faults under which a target answers only control requests. */
export type OutageFaults = Partial<Pick<TargetFaults, 'down' | 'hang'>>;

/** Faults that lose the running requests; `restart` and `refuseMs` are applied once. */
export type RestartFaults = Partial<Pick<TargetFaults, 'down' | 'restart' | 'refuseMs'>>;

/** Sets and clears the faults of a stand-in from a test in the same process. */
export type FaultControl<Faults> = {
	setFaults(faults: Partial<Faults>): void;
	clearFaults(): void;
};

export type TargetFaultOptions<Faults> = {
	app: StandinApp;
	faults: Partial<Faults>;
	/** Drops the running requests and starts cold. */
	restart: () => void;
	refuseConnections: (ms: number) => void;
};

/** Adds the fault routes of a target and applies `restart`, `down` and `refuseMs` when they are set. */
export function createFaultControl<Faults extends RestartFaults>({app, faults, restart, refuseConnections}: TargetFaultOptions<Faults>): FaultControl<Faults> {
	function onSet(set: Partial<Faults>) {
		if ([set.restart, set.down, set.refuseMs].some(Boolean)) {
			restart();
		}

		if (set.refuseMs) {
			refuseConnections(set.refuseMs);
		}

		delete faults.restart;
		delete faults.refuseMs;
	}

	addFaultRoutes(app, faults, onSet);
	return {
		setFaults(set) {
			Object.assign(faults, set);
			onSet(set);
		},
		clearFaults() {
			clearFaults(faults);
		},
	};
}

/** Breaks (`down`) or keeps open without an answer (`hang`) every request except control requests. */
export function addOutageMiddleware(app: StandinApp, faults: OutageFaults) {
	app.use('*', async (ctx, next) => {
		const isOut = (faults.down ?? false) || (faults.hang ?? false);
		if (!isOut || isControlPath(ctx.req.path)) {
			return next();
		}

		if (faults.down) {
			breakConnection(ctx.env.outgoing);
		}

		return RESPONSE_ALREADY_SENT;
	});
}

/** Decrements the counter of a fault that applies to a number of next answers; false when none is left. */
export function tryConsumeFault<Name extends string>(faults: Partial<Record<Name, number>>, name: Name): boolean {
	const remaining = faults[name] ?? 0;
	if (remaining <= 0) {
		return false;
	}

	faults[name] = remaining - 1;
	return true;
}
