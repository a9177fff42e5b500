/*
Gives up requests whose deadline passes: the caller gets its final answer at once.
*/
import {Outcome, RefusalKind, type Refusal} from '../../refusal.ts';
import {RequestState, type Request} from '../../rows.ts';
import {second} from '../../units.ts';
import {startPeriodIfDue, type World} from '../../world.ts';
import {isCutOff} from '../membership/lease.ts';
import {demandOf, retryAfter} from './demands.ts';
import {
	cutOff, noCapacity, refuse, tell,
} from './requests.ts';
import {hasTarget} from './routes.ts';
import {refuseRunning} from './runs.ts';

/** Period at which deadlines are looked at, in milliseconds. */
const deadlineMs = 100;

function refuseLate(world: World, request: Request) {
	refuse(world, request, lateRefusal(world, request));
}

function lateRefusal(world: World, request: Request): Refusal {
	return {
		kind: RefusalKind.DeadlinePassed,
		outcome: Outcome.NotRun,
		detail: '',
		retryAfterMs: retryAfter(world, demandOf(world, request)),
	};
}

/** What becomes of a request whose deadline passes, by its state. */
const overdue: Record<RequestState, (world: World, request: Request) => void> = {
	[RequestState.Arrived]: refuseLate,
	[RequestState.Checking]: refuseLate,
	[RequestState.Queued]: refuseLate,
	[RequestState.Claiming]: refuseLate,
	[RequestState.AwaitingDuplicate]: refuseRunning,
	[RequestState.Running](world, request) {
		if (!request.delivered && !request.isClosed) {
			giveUpRunning(world, request);
		}
	},
};

/** Tells the caller at once; what the attempt holds is released when it has ended. */
function giveUpRunning(world: World, request: Request) {
	if (!request.once) {
		world.outbox.push({kind: 'abortAnswer', request: request.id});
	}

	tell(world, request, request.once
		? {
			kind: RefusalKind.RunInProgress, outcome: Outcome.Unknown, detail: '', retryAfterMs: second,
		}
		: {...lateRefusal(world, request), outcome: Outcome.Unknown});
	request.isClosed = true;
}

/** Gives up requests whose deadline passed without a byte of an answer, and queued ones that can't be served soon. */
export function deadlinesSystem(world: World) {
	if (!startPeriodIfDue(world, 'deadlines', deadlineMs)) {
		return;
	}

	for (const request of world.requests.rows()) {
		if (request.deadline <= world.now) {
			overdue[request.state](world, request);
		} else if (request.state === RequestState.Queued && !hasTarget(world, request.pool)) {
			refuse(world, request, noCapacity(request));
		} else if (request.state === RequestState.Queued && isCutOff(world)) {
			refuse(world, request, cutOff());
		}
	}
}
