/*
Data model of the fault matrix: steps, faults, and cells. A cell names the test that injects its faults during its step.
*/

/** Operation in progress when the fault occurs. */
export enum Step {
	RequestQueued = 'request waits',
	RequestGranted = 'request has a permit',
	RequestRunning = 'answer runs',
	OnceClaimed = 'run record is written',
	OnceRunning = 'once request runs',
	Handover = 'target is handed over',
	ReleaseProposed = 'release is accepted',
	ReleaseSpread = 'release spreads',
	Stop = 'planned stop',
	LeaseRenewal = 'lease is renewed',
	TargetClaim = 'target is claimed',
}

export enum Fault {
	Kill = 'kill',
	Pause = 'pause past the lease',
	CutTwoWay = 'cut two ways',
	CutOneWay = 'cut one way',
	CutFromStore = 'cut from the store',
	CutFromPeers = 'cut from peers',
	CutFromTarget = 'cut from the target',
	StoreDown = 'store down',
	StoreSlow = 'store slow',
	StoreAnswerLost = 'store answer lost after effect',
	InstanceListLate = 'instance list late',
	TargetCold = 'target back in cold start',
	TargetSlow = 'target slow',
	TargetDies = 'target dies mid-stream',
	AnswersLate = 'answers late',
	AnswersCrossed = 'answers crossed',
	LoadReportLate = 'load report late',
	Flood = 'flood of one workspace',
	OperatorsRacing = 'operators racing',
	ClockJump = 'clock jump',
	Restart = 'restart with empty memory',
}

export type Cell = {
	step: Step;
	/** One fault, or two that occur together. */
	faults: Fault[];
	/** Path of the test file under `packages/`. */
	file: string;
	/** Full name of the test, with its seed where it has one. */
	test: string;
	/**
	Mechanism whose removal from the code made the test fail; undefined when that wasn't tried, and the cell then isn't
	proved.
	*/
	failsWithout?: string;
	/** Reason why the test fails at present; undefined when it is expected to pass. */
	knownFailure?: string;
};

export enum Status {
	Proved = 'proved',
	NotProved = 'not proved',
	Red = 'red',
}

/** Status that a cell claims, whatever the result of its test. */
export function computeStatus({failsWithout, knownFailure}: Pick<Cell, 'failsWithout' | 'knownFailure'>): Status {
	if (knownFailure !== undefined) {
		return Status.Red;
	}

	return failsWithout === undefined ? Status.NotProved : Status.Proved;
}
