/*
What the fault matrix is made of: steps, faults, and cells that name the test that provokes the fault at the step.
*/

/** What is under way when the fault comes. */
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
	/** One fault, or two that come together. */
	faults: Fault[];
	/** Path of the test file under `packages/`. */
	file: string;
	/** Full name of the test, with its seed where it has one. */
	test: string;
	/**
	What was taken out of the code to see the test fail; undefined when that wasn't tried. Without it the cell isn't
	proved.
	*/
	without?: string;
	/** Why the test fails, while it does. */
	red?: string;
};

export enum Status {
	Proved = 'proved',
	NotProved = 'not proved',
	Red = 'red',
}

/** What a cell claims; the run of its test may still contradict it. */
export function statusOf({without, red}: Pick<Cell, 'without' | 'red'>): Status {
	if (red !== undefined) {
		return Status.Red;
	}

	return without === undefined ? Status.NotProved : Status.Proved;
}
