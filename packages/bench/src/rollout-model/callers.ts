/*
Callers of streams. A caller whose stream breaks resumes it with a new attempt at another instance, names the attempt that received the
first event, and goes on until its deadline. It records the software version behind each event, which real callers can't see.
*/
import type {CallArrival, Prompt} from '@shallotloom/core/gateway/rows.ts';
import type {EventQueue} from '../fleet-model/event-queue.ts';
import type {Random} from '../load/random.ts';

/** Stream of one caller over all its attempts. */
export type CallerStream = {
	events: number;
	receivedEvents: number;
	/** Versions of the events that it has received. */
	versions: Set<string>;
	firstRequestId: string | undefined;
	attempts: number;
	/** Whether it has broken, and waits for its next attempt. */
	isBroken: boolean;
	isDone: boolean;
	prompt: Prompt;
	deadline: number;
	/** Instance of its current attempt. */
	instance: string;
};

/** Attempts that were counted, and how many of them received an event. */
export type AttemptCount = {attempts: number; successes: number};

export type Callers = {
	readonly streams: CallerStream[];
	/** First attempts, and attempts to resume while two targets of the stream's version were ready, at instances in touch. */
	readonly begun: AttemptCount;
	readonly resumed: AttemptCount;
	/** Open attempts by call id. */
	readonly attempts: Map<string, Attempt>;
	/** Begins a stream at an instance that is up. */
	begin(): void;
	onEvent(call: string, softwareVersion: string): void;
	/** The attempt ended without its last event. */
	onBroken(call: string, retryAfterMs?: number): void;
	onEnd(call: string): void;
};

export type Attempt = {stream: CallerStream; id: string; instance: string; count: AttemptCount | undefined; hasEvent: boolean};

export type CallersOptions = {
	queue: EventQueue;
	random: Random;
	/** Instances that accept connections. */
	getReachable: () => string[];
	/** Whether attempts at an instance count: it has run undisturbed for some time. */
	isInTouch: (instance: string) => boolean;
	countReady: (softwareVersion: string) => number;
	send: (instance: string, arrival: CallArrival) => void;
	/** The caller has left an attempt. */
	leave: (attempt: Attempt) => void;
};

const deadlineMs = 12_000;
const maxAttempts = 4;

/** Gap without events after which a caller leaves its attempt, in milliseconds. */
const maxGapMs = 2500;

/** Time from the end of an attempt to the next one, at least, in milliseconds. */
const minRetryMs = 4;

/** Callers honour a retry-after delay up to this fraction of the time left until their deadline. */
const maxRetryDelayFraction = 1 / 3;

/** Time after which a caller that finds no instance looks for one again, in milliseconds. */
const reconnectMs = 200;

const maxEvents = 60;
const minEvents = 5;

/** Shared prompts: few long ones, which stay at their preferred targets, and many short ones. */
const longPrompts = 12;
const longPromptTokens = 5000;

export function createCallers({
	queue, random, getReachable, isInTouch, countReady, send, leave,
}: CallersOptions): Callers {
	const streams: CallerStream[] = [];
	const begun: AttemptCount = {attempts: 0, successes: 0};
	const resumed: AttemptCount = {attempts: 0, successes: 0};
	const attempts = new Map<string, Attempt>();
	let attemptCount = 0;

	function createPrompt(): Prompt {
		const isLong = random.uniform() < 0.5;
		const [id, tokens] = isLong ? [`long-${Math.floor(random.uniform() * longPrompts)}`, longPromptTokens] : ['short', 200];
		return {inputTokens: tokens + 300, outputTokens: 200, segments: [{id, tokens}, {id: `own-${streams.length}`, tokens: 300}]};
	}

	function getCount({firstRequestId, versions}: CallerStream, instance: string): AttemptCount | undefined {
		if (!isInTouch(instance)) {
			return undefined;
		}

		if (firstRequestId === undefined) {
			return begun;
		}

		return countReady([...versions][0]!) >= 2 ? resumed : undefined;
	}

	function startAttempt(stream: CallerStream) {
		if (stream.attempts >= maxAttempts || queue.now >= stream.deadline) {
			stream.isDone = true;
			return;
		}

		const reachable = getReachable();
		if (reachable.length === 0) {
			queue.schedule(reconnectMs, () => {
				startAttempt(stream);
			});
			return;
		}

		const instance = reachable[Math.floor(random.uniform() * reachable.length)]!;
		attemptCount += 1;
		const id = `c${attemptCount}`;
		const count = getCount(stream, instance);
		if (count) {
			count.attempts += 1;
		}

		Object.assign(stream, {attempts: stream.attempts + 1, isBroken: false, instance});
		attempts.set(id, {
			stream, id, instance, count, hasEvent: false,
		});
		watchGaps(id, stream.receivedEvents);
		send(instance, {
			id,
			requestId: id,
			host: 'model',
			path: '/chat/x',
			key: 'key-a',
			remainingMs: stream.deadline - queue.now,
			prompt: stream.prompt,
			resumption: stream.firstRequestId === undefined ? undefined : {firstRequestId: stream.firstRequestId},
			fingerprint: stream.prompt.segments.at(-1)!.id,
		});
	}

	/** Leaves an attempt that receives no event for too long. */
	function watchGaps(id: string, receivedEvents: number) {
		queue.schedule(maxGapMs, () => {
			const attempt = attempts.get(id);
			if (!attempt) {
				return;
			}

			if (attempt.stream.receivedEvents === receivedEvents) {
				leave(attempt);
				endAttempt(id, 0);
			} else {
				watchGaps(id, attempt.stream.receivedEvents);
			}
		});
	}

	function endAttempt(id: string, retryAfterMs: number) {
		const attempt = attempts.get(id);
		if (!attempt) {
			return;
		}

		attempts.delete(id);
		const {stream} = attempt;
		stream.isBroken = true;
		const delayMs = Math.min(retryAfterMs, (stream.deadline - queue.now) * maxRetryDelayFraction);
		queue.schedule(minRetryMs + (random.uniform() * minRetryMs) + Math.max(0, delayMs), () => {
			startAttempt(stream);
		});
	}

	return {
		streams,
		begun,
		resumed,
		attempts,
		begin() {
			const stream: CallerStream = {
				events: minEvents + Math.floor(random.uniform() * (maxEvents - minEvents)),
				receivedEvents: 0,
				versions: new Set(),
				firstRequestId: undefined,
				attempts: 0,
				isBroken: false,
				isDone: false,
				prompt: createPrompt(),
				deadline: queue.now + deadlineMs,
				instance: '',
			};
			streams.push(stream);
			startAttempt(stream);
		},
		onEvent(call, softwareVersion) {
			const attempt = attempts.get(call);
			if (!attempt) {
				return;
			}

			const {stream, count} = attempt;
			if (count && !attempt.hasEvent) {
				count.successes += 1;
			}

			attempt.hasEvent = true;
			stream.firstRequestId ??= call;
			stream.receivedEvents += 1;
			stream.versions.add(softwareVersion);
		},
		onBroken(call, retryAfterMs = 0) {
			endAttempt(call, retryAfterMs);
		},
		onEnd(call) {
			const attempt = attempts.get(call);
			attempts.delete(call);
			if (attempt) {
				attempt.stream.isDone = true;
			}
		},
	};
}
