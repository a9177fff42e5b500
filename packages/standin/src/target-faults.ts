/*
Faults that engines and services share.
*/
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {
	addFaultRoutes, breakConnection, clearFaults, isControl, type StandinApp,
} from './standin-server.ts';

/** Faults that every target has. */
export type TargetFaults = {
	/** Connections break without an answer. */
	down: boolean;
	/** Nothing listens for this time: connections are refused. */
	refuseMs: number;
	/** Factor on all service times. */
	slowFactor: number;
	/** What runs is cut and the target is cold with a new start id; happens once. */
	restart: boolean;
	/** Time that an answer is held back while the target already ran or runs it. */
	answerLateMs: number;
	/** Number of next answers that carry the id and content of another request. */
	crossAnswers: number;
	loadLagMs: number;
	/** Requests are accepted and never answered. */
	hang: boolean;
};

/** Faults under which a target answers nothing but control. */
export type OutageFaults = Partial<Pick<TargetFaults, 'down' | 'hang'>>;

/** Faults that lose what runs; `restart` and `refuseMs` happen once. */
export type RestartFaults = Partial<Pick<TargetFaults, 'down' | 'restart' | 'refuseMs'>>;

/** Sets and clears the faults of a stand-in from a test in the same process. */
export type FaultControl<Faults> = {
	setFaults(faults: Partial<Faults>): void;
	clearFaults(): void;
};

export type TargetFaultOptions<Faults> = {
	app: StandinApp;
	faults: Partial<Faults>;
	/** Loses what runs and starts cold. */
	restart: () => void;
	refuseConnections: (ms: number) => void;
};

/** Adds the fault routes of a target, and applies faults that happen when they are set. */
export function controlTargetFaults<Faults extends RestartFaults>({app, faults, restart, refuseConnections}: TargetFaultOptions<Faults>): FaultControl<Faults> {
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

/** Breaks (`down`) or keeps open without an answer (`hang`) every request but those of control. */
export function addOutage(app: StandinApp, faults: OutageFaults) {
	app.use('*', async (ctx, next) => {
		const faulty = (faults.down ?? false) || (faults.hang ?? false);
		if (!faulty || isControl(ctx.req.path)) {
			return next();
		}

		if (faults.down) {
			breakConnection(ctx.env.outgoing);
		}

		return RESPONSE_ALREADY_SENT;
	});
}

/** Takes one off the count of a fault; false when none is left. */
export function takeOne<Name extends string>(faults: Partial<Record<Name, number>>, name: Name): boolean {
	const left = faults[name] ?? 0;
	if (left <= 0) {
		return false;
	}

	faults[name] = left - 1;
	return true;
}
