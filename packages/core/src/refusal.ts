/*
Error responses to callers: a table of kinds with HTTP status, message and hint. `outcome` says whether the request ran at
a target; `not-run` is only used when no byte of this attempt of the caller was sent to one.
*/

export enum Outcome {
	NotRun = 'not-run',
	Ran = 'ran',
	Unknown = 'unknown',
}

export enum RefusalKind {
	UnknownWorkspace = 'unknown-workspace',
	UnknownPool = 'unknown-pool',
	UnknownRoute = 'unknown-route',
	HeadersTooLarge = 'headers-too-large',
	RequestTimeout = 'request-timeout',
	BodyTooLarge = 'body-too-large',
	MalformedBody = 'malformed-body',
	DeadlinePassed = 'deadline-passed',
	QueueFull = 'queue-full',
	BuffersFull = 'buffers-full',
	NoCapacity = 'no-capacity',
	PromptQuarantined = 'prompt-quarantined',
	RequestQuarantined = 'request-quarantined',
	StreamUnknown = 'stream-unknown',
	StreamVersionGone = 'stream-version-gone',
	NotReady = 'not-ready',
	CutOff = 'cut-off',
	Stopping = 'stopping',
	TargetFailed = 'target-failed',
	AnswerBroken = 'answer-broken',
	KeyMissing = 'key-missing',
	RunInProgress = 'run-in-progress',
	RunOutcomeUnknown = 'run-outcome-unknown',
	AnswerNotKept = 'answer-not-kept',
	StoreUnavailable = 'store-unavailable',
	InternalError = 'internal',
}

export type Refusal = {
	kind: RefusalKind;
	outcome: Outcome;
	/** Inserted into the message, for example the pool's name; '' when there is nothing to add. */
	detail: string;
	/** When to retry; undefined when a retry doesn't help. */
	retryAfterMs?: number;
};

type RefusalEntry = {
	status: number;
	message: (detail: string) => string;
	/** How the caller can resolve it. */
	hint: string;
};

/** Status, message and hint of each kind of refusal. */
export const refusals: Record<RefusalKind, RefusalEntry> = {
	[RefusalKind.UnknownWorkspace]: {
		status: 401,
		message: () => 'the workspace key is missing or unknown',
		hint: 'Send the key of the workspace as "authorization: Bearer KEY".',
	},
	[RefusalKind.UnknownPool]: {
		status: 404,
		message: detail => `no model or service is named "${detail}"`,
		hint: 'Ask an operator which models and services the current release has.',
	},
	[RefusalKind.UnknownRoute]: {
		status: 404,
		message: detail => `no route of host "${detail}" matches the path`,
		hint: 'Ask an operator which routes are configured.',
	},
	[RefusalKind.HeadersTooLarge]: {
		status: 431,
		message: () => 'the request headers are too large',
		hint: 'Send fewer or shorter headers.',
	},
	[RefusalKind.RequestTimeout]: {
		status: 408,
		message: () => 'the request was not received in time',
		hint: 'Retry the request on a new connection.',
	},
	[RefusalKind.BodyTooLarge]: {
		status: 413,
		message: detail => `the request body is larger than ${detail} bytes`,
		hint: 'Send a shorter prompt or split the request.',
	},
	[RefusalKind.MalformedBody]: {
		status: 400,
		message: detail => `the request is malformed: ${detail}`,
		hint: 'Send a JSON object as docs/API.md describes.',
	},
	[RefusalKind.DeadlinePassed]: {
		status: 504,
		message: () => 'the deadline passed before the request could be served',
		hint: 'Retry the request with a later deadline.',
	},
	[RefusalKind.QueueFull]: {
		status: 429,
		message: detail => `the queue of workspace "${detail}" is full`,
		hint: 'Retry after the time in the Retry-After header.',
	},
	[RefusalKind.BuffersFull]: {
		status: 503,
		message: () => 'the router buffers as many bytes of other requests as its memory allows',
		hint: 'Retry after the time in the Retry-After header, or at another router.',
	},
	[RefusalKind.NoCapacity]: {
		status: 503,
		message: detail => `no target serves "${detail}" at the moment`,
		hint: 'Retry after the time in the Retry-After header.',
	},
	[RefusalKind.PromptQuarantined]: {
		status: 503,
		message: detail => `targets crashed while they answered prompts with the part "${detail}"`,
		hint: 'Send the request without this part of the prompt; with it, only after the time in the Retry-After header.',
	},
	[RefusalKind.RequestQuarantined]: {
		status: 503,
		message: detail => `targets crashed each time they ran this request (content ${detail})`,
		hint: 'Change the request; with the same path and body, send it only after the time in the Retry-After header.',
	},
	[RefusalKind.StreamUnknown]: {
		status: 503,
		message: detail => `it isn't known at which software version the stream "${detail}" began`,
		hint: 'Discard the partial answer and send the request again from the start.',
	},
	[RefusalKind.StreamVersionGone]: {
		status: 503,
		message: detail => `no target of "${detail}" has the software version at which the stream began`,
		hint: 'Discard the partial answer and send the request again from the start.',
	},
	[RefusalKind.NotReady]: {
		status: 503,
		message: () => 'the router has not received a configuration yet',
		hint: 'Request an address from another router.',
	},
	[RefusalKind.CutOff]: {
		status: 503,
		message: () => 'the router has lost contact with most of the fleet and starts no new requests',
		hint: 'Request an address from another router.',
	},
	[RefusalKind.Stopping]: {
		status: 503,
		message: () => 'the router is stopping',
		hint: 'Request an address from another router.',
	},
	[RefusalKind.TargetFailed]: {
		status: 502,
		message: detail => `every attempt failed: ${detail}`,
		hint: 'Retry after the time in the Retry-After header.',
	},
	[RefusalKind.AnswerBroken]: {
		status: 502,
		message: () => 'the answer was interrupted and could not be resumed',
		hint: 'Discard the partial answer and retry the request.',
	},
	[RefusalKind.KeyMissing]: {
		status: 400,
		message: () => 'a request that may run only once needs an idempotency key',
		hint: 'Send a header "idempotency-key" that is unique to the request.',
	},
	[RefusalKind.RunInProgress]: {
		status: 409,
		message: () => 'a request with the same idempotency key is still running',
		hint: 'Retry with the same key after the time in the Retry-After header.',
	},
	[RefusalKind.RunOutcomeUnknown]: {
		status: 502,
		message: () => 'the request was sent to its target, but whether it ran is unknown',
		hint: 'With a Retry-After header, retry with the same key; otherwise check at the service itself. The router never runs the key again.',
	},
	[RefusalKind.AnswerNotKept]: {
		status: 410,
		message: () => 'the request ran, but its answer was too large to be stored',
		hint: 'Check at the service itself; the router never runs the key again.',
	},
	[RefusalKind.StoreUnavailable]: {
		status: 503,
		message: () => 'the Object API is unreachable, so a request that may run only once is not started',
		hint: 'Retry after the time in the Retry-After header.',
	},
	[RefusalKind.InternalError]: {
		status: 500,
		message: () => 'the router failed while it handled the request',
		hint: 'Report it to an operator: the log of the router has the cause under the id of the request.',
	},
};
