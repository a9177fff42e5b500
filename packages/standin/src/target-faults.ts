/*
Faults that engines and services share.
*/
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {breakConnection, isControl, type StandinApp} from './standin-server.ts';

/** Faults under which a target answers nothing but control. */
export type OutageFaults = {down?: boolean; hang?: boolean};

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
