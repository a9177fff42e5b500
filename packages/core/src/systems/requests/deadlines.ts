/*
Ends requests whose deadline has passed: the caller gets its final answer at the next check of the deadlines.
*/
import {Outcome, RefusalKind, type Refusal} from '../../refusal.ts';
import {RequestState, type Request} from '../../rows.ts';
import {second} from '../../units.ts';
import {startPeriodIfDue, type World} from '../../world.ts';
import {isCutOff} from '../membership/lease.ts';
import {getOrCreateDemand, computeRetryAfterMs} from './demands.ts';
import {
	createCutOffRefusal, createNoCapacityRefusal, refuse, sendRefusal,
} from './requests.ts';
import {hasAvailableTarget} from './routes.ts';
import {refuseRunInProgress} from './runs.ts';

/** Period at which deadlines are checked, in milliseconds. */
const deadlinePeriodMs = 100;

function refuseExpired(world: World, request: Request) {
	refuse(world, request, createDeadlineRefusal(world, request));
}

function createDeadlineRefusal(world: World, request: Request): Refusal {
	return {
		kind: RefusalKind.DeadlinePassed,
		outcome: Outcome.NotRun,
		detail: '',
		retryAfterMs: computeRetryAfterMs(world, getOrCreateDemand(world, request)),
	};
}

/** Handlers of a passed deadline, by the state of the request. */
const deadlineHandlers: Record<RequestState, (world: World, request: Request) => void> = {
	[RequestState.Arrived]: refuseExpired,
	[RequestState.Checking]: refuseExpired,
	[RequestState.Queued]: refuseExpired,
	[RequestState.Claiming]: refuseExpired,
	[RequestState.AwaitingDuplicate]: refuseRunInProgress,
	[RequestState.Running](world, request) {
		if (!request.delivered && !request.isClosed) {
			refuseUnanswered(world, request);
		}
	},
};

/**
Answers the caller of a running request at once. A `once` attempt goes on, any other is cancelled. The request is
removed and its permit returned when the attempt has ended.
*/
function refuseUnanswered(world: World, request: Request) {
	if (!request.once) {
		world.outbox.push({kind: 'abortAnswer', request: request.id});
	}

	sendRefusal(world, request, request.once
		? {
			kind: RefusalKind.RunInProgress, outcome: Outcome.Unknown, detail: '', retryAfterMs: second,
		}
		: {...createDeadlineRefusal(world, request), outcome: Outcome.Unknown});
	request.isClosed = true;
}

/**
Ends requests whose deadline passed before the first byte of an answer. Also refuses queued requests whose pool has no
available target, or all queued requests when this router is cut off.
*/
export function deadlinesSystem(world: World) {
	if (!startPeriodIfDue(world, 'deadlines', deadlinePeriodMs)) {
		return;
	}

	for (const request of world.requests.rows()) {
		if (request.deadline <= world.now) {
			deadlineHandlers[request.state](world, request);
		} else if (request.state === RequestState.Queued && !hasAvailableTarget(world, request.pool)) {
			refuse(world, request, createNoCapacityRefusal(request));
		} else if (request.state === RequestState.Queued && isCutOff(world)) {
			refuse(world, request, createCutOffRefusal());
		}
	}
}
