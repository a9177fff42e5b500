/*
The cells of the fault matrix. `failsWithout` names the mechanism that was removed from a scratch copy to check that the test
then fails. A property test with random faults counts for the cell of one of these faults only if it failed without the
mechanism that handles the fault.
*/
import {Fault, Step, type Cell} from './cell.ts';

const lease = 'core/test/lease.test.ts';
const ownership = 'core/test/ownership.test.ts';
const releases = 'core/test/releases.test.ts';
const stop = 'core/test/stop.test.ts';
const singleOwner = 'core/test/single-owner.test.ts';
const runs = 'core/test/runs.test.ts';
const requests = 'core/test/requests.test.ts';
const budgets = 'core/test/budgets.test.ts';
const wholeAnswers = 'router/test/whole-answers.test.ts';
const refusals = 'router/test/refusals.test.ts';

export const cells: Cell[] = [
	{
		step: Step.RequestQueued, faults: [Fault.Kill], file: budgets,
		test: 'the permits of a crashed router end once its load report shows that they have ended, and its tickets get no permit',
		failsWithout: 'ending abandoned permits',
	},
	{
		step: Step.RequestQueued, faults: [Fault.CutFromStore], file: runs,
		test: 'store cut off at the check: refused as not run, and nothing is sent',
	},
	{
		step: Step.RequestQueued, faults: [Fault.StoreDown], file: runs,
		test: 'store down at the check: refused as not run, and nothing is sent',
	},
	{
		step: Step.RequestGranted, faults: [Fault.Pause], file: requests,
		test: 'a permit that expired while its router was paused is not used, and the request gets another',
		failsWithout: 'the expiry of permits',
	},
	{
		step: Step.RequestGranted, faults: [Fault.CutTwoWay], file: budgets,
		test: 'a request whose grant was lost is queued again and served',
		failsWithout: 'ending abandoned permits',
	},
	{
		step: Step.RequestGranted, faults: [Fault.TargetCold], file: budgets,
		test: 'a cold target never gets more requests than its cold capacity after a restart without warning',
	},
	{
		step: Step.RequestGranted, faults: [Fault.LoadReportLate], file: budgets,
		test: 'a missing load report sets a target aside only when no answer since shows that it is up',
	},
	{
		step: Step.RequestGranted, faults: [Fault.TargetCold, Fault.LoadReportLate], file: budgets,
		test: 'a cold target never gets more requests than its cold capacity after a restart with load reports that lag by 3 s',
	},
	{
		step: Step.RequestGranted, faults: [Fault.Kill, Fault.LoadReportLate], file: budgets,
		test: 'a cold target never gets more requests than its cold capacity after the owner\'s crash with load reports that lag by 3 s',
	},
	{
		step: Step.RequestGranted, faults: [Fault.Kill, Fault.TargetCold], file: budgets,
		test: 'a cold target never gets more requests than its cold capacity after the crash of a router with running requests together with a restart of the target',
		failsWithout: 'ending abandoned permits',
	},
	{
		step: Step.RequestGranted, faults: [Fault.StoreSlow], file: budgets,
		test: 'a permit that has expired when the run record is written isn\'t used, and the request runs once with a new permit',
	},
	{
		step: Step.RequestGranted, faults: [Fault.CutFromTarget], file: refusals,
		test: 'a target that refuses connections: refused as not run, with a retry-after delay',
	},
	{
		step: Step.RequestRunning, faults: [Fault.Kill], file: budgets,
		test: 'the permits of a crashed router end once its lease has expired, without load reports, and its tickets get no permit',
		failsWithout: 'ending abandoned permits',
	},
	{
		step: Step.RequestRunning, faults: [Fault.TargetSlow], file: budgets,
		test: 'a target that becomes slow is reset to its cold budget',
		failsWithout: 'the reset to the cold budget after slow answers',
	},
	{
		step: Step.RequestRunning, faults: [Fault.TargetDies], file: wholeAnswers,
		test: 'a stream that breaks at token 7 of 12 is resumed without a lost or duplicated token',
	},
	{
		step: Step.RequestRunning, faults: [Fault.TargetDies], file: wholeAnswers,
		test: 'a stream that its engine has lost ends with an error event and an aborted connection',
	},
	{
		step: Step.RequestRunning, faults: [Fault.AnswersLate], file: wholeAnswers,
		test: 'streamed answers of an engine that arrive late are delivered complete',
	},
	{
		step: Step.RequestRunning, faults: [Fault.AnswersLate], file: requests,
		test: 'a request without a byte of its answer at the deadline is refused as unknown and cancelled at its target',
	},
	{
		step: Step.RequestRunning, faults: [Fault.AnswersCrossed], file: wholeAnswers,
		test: 'streamed answers of an engine that are swapped with those of another request are delivered complete',
	},
	{
		step: Step.OnceClaimed, faults: [Fault.StoreAnswerLost], file: runs,
		test: 'a claim that took effect but whose answer was lost is recognised by its nonce',
		failsWithout: 'the nonce in the run record',
	},
	{
		step: Step.OnceClaimed, faults: [Fault.StoreDown], file: runs,
		test: 'store down at the claim: refused as not run, the permit is returned, and the key stays usable',
	},
	{
		step: Step.OnceClaimed, faults: [Fault.CutFromStore], file: runs,
		test: 'store cut off at the claim: refused as not run, the permit is returned, and the key stays usable',
	},
	{
		step: Step.OnceClaimed, faults: [Fault.StoreSlow], file: runs,
		test: 'a claim that takes effect after its request was refused is deleted, and the key runs once',
		failsWithout: 'comparing the nonce of a run record before its deletion',
	},
	{
		step: Step.OnceClaimed, faults: [Fault.Kill], file: runs,
		test: 'a router is killed between record and dispatch and stays down: duplicates are refused as unknown within 2.5 s, and without a retry-after delay once the run cannot continue',
	},
	{
		step: Step.OnceClaimed, faults: [Fault.Restart], file: runs,
		test: 'a router is killed between record and dispatch and restarts: duplicates are refused as unknown within 2.5 s, and without a retry-after delay once the run cannot continue',
	},
	{
		step: Step.OnceRunning, faults: [Fault.Kill], file: runs,
		test: 'a router is killed between dispatch and answer and stays down: duplicates are refused as unknown within 2.5 s, and without a retry-after delay once the run cannot continue',
	},
	{
		step: Step.OnceRunning, faults: [Fault.Restart], file: runs,
		test: 'a router is killed between dispatch and answer and restarts: duplicates are refused as unknown within 2.5 s, and without a retry-after delay once the run cannot continue',
	},
	{
		step: Step.OnceRunning, faults: [Fault.CutTwoWay], file: runs,
		test: 'a router that was silent for a while still answers later duplicates of a request that it runs',
	},
	{
		step: Step.OnceRunning, faults: [Fault.AnswersCrossed], file: runs,
		test: 'a once request whose attempt is answered for another request is sent again only when the attempt was not sent',
	},
	{
		step: Step.OnceRunning, faults: [Fault.TargetDies], file: runs,
		test: 'a once request whose attempt is broken is sent again only when the attempt was not sent',
	},
	{
		step: Step.OnceRunning, faults: [Fault.AnswersLate], file: refusals,
		test: 'a once call whose answer arrives after the deadline is refused as unknown, and a later call with its key does not run again',
	},
	{
		step: Step.Handover, faults: [Fault.StoreAnswerLost], file: ownership,
		test: 'a handover with the answer of the write lost leads to exactly one new owner in time, at the next epoch',
	},
	{
		step: Step.Handover, faults: [Fault.CutFromStore], file: ownership,
		test: 'a handover with the write lost leads to exactly one new owner in time, at the next epoch',
		failsWithout: 'reading the ownership record after a handover without an answer',
	},
	{
		step: Step.Handover, faults: [Fault.StoreDown], file: ownership,
		test: 'a handover with the write refused leads to exactly one new owner in time, at the next epoch',
	},
	{
		step: Step.Handover, faults: [Fault.CutOneWay], file: ownership,
		test: 'a handover with the message lost leads to exactly one new owner in time, at the next epoch',
	},
	{
		step: Step.Handover, faults: [Fault.Kill], file: ownership,
		test: 'a target that is handed over to a router that has just crashed is taken over by another one',
	},
	{
		step: Step.Handover, faults: [Fault.StoreSlow], file: ownership,
		test: 'an owner doesn\'t claim a target again while a handover without an answer may still take effect',
		failsWithout: 'reading the ownership record after a handover without an answer',
	},
	{
		step: Step.ReleaseProposed, faults: [Fault.StoreAnswerLost], file: releases,
		test: 'a release whose write fails once with fault answer-lost is accepted and takes effect at most once',
		failsWithout: 'the nonce in the release',
	},
	{
		step: Step.ReleaseProposed, faults: [Fault.CutFromStore], file: releases,
		test: 'the operator gets the answer unknown when no write is ever answered',
		failsWithout: 'keeping track of writes without an answer',
	},
	{
		step: Step.ReleaseProposed, faults: [Fault.StoreDown], file: releases,
		test: 'the operator gets the answer unavailable when the store is down from the start',
	},
	{
		step: Step.ReleaseProposed, faults: [Fault.CutFromStore, Fault.StoreDown], file: releases,
		test: 'the operator gets the answer unknown when the write is lost and then the store is down',
		failsWithout: 'keeping track of writes without an answer',
	},
	{
		step: Step.ReleaseProposed, faults: [Fault.StoreAnswerLost, Fault.StoreDown], file: releases,
		test: 'the operator gets the answer unknown when the answer is lost and the release can\'t be read back',
		failsWithout: 'keeping track of writes without an answer',
	},
	{
		step: Step.ReleaseProposed, faults: [Fault.OperatorsRacing], file: releases,
		test: 'of two operators that race one gets the other\'s revision and audit entry when both named the same revision',
		failsWithout: 'checking the revision that an operator named',
	},
	{
		step: Step.ReleaseSpread, faults: [Fault.StoreSlow], file: releases,
		test: 'duplicate, late, reordered and missing watch events never lower a revision, and all routers reach the same one',
		failsWithout: 'requesting missing releases',
	},
	{
		step: Step.ReleaseSpread, faults: [Fault.CutFromStore], file: releases,
		test: 'a router without the Object API and without watch events receives releases from a peer',
		failsWithout: 'requesting releases from peers',
	},
	{
		step: Step.ReleaseSpread, faults: [Fault.Restart], file: releases,
		test: 'an accepted release is in force everywhere, also at a router that restarts later',
	},
	{
		step: Step.Stop, faults: [Fault.Kill], file: stop,
		test: 'a planned stop ends, but not before callers have discarded the address: one while another is killed',
	},
	{
		step: Step.Stop, faults: [Fault.StoreDown], file: stop,
		test: 'a planned stop ends, but not before callers have discarded the address: one while the store is down',
		failsWithout: 'the time limit on waiting for the store',
	},
	{
		step: Step.Stop, faults: [Fault.CutFromStore], file: stop,
		test: 'a planned stop ends, but not before callers have discarded the address: one while the store does not answer',
		failsWithout: 'the time limit on waiting for the store',
	},
	{
		step: Step.Stop, faults: [Fault.StoreAnswerLost], file: stop,
		test: 'a planned stop ends, but not before callers have discarded the address: all while store answers are lost',
		failsWithout: 'the time limit on waiting for the store',
	},
	{
		step: Step.Stop, faults: [Fault.CutFromPeers], file: stop,
		test: 'a planned stop ends, but not before callers have discarded the address: one that is cut off from its peers',
	},
	{
		step: Step.Stop, faults: [Fault.Restart], file: stop,
		test: 'routers that stop one after the other end, and the last one gives up its targets, so that the next start claims them within 2 s',
		failsWithout: 'giving up ownership records',
	},
	{
		step: Step.Stop, faults: [Fault.TargetCold], file: budgets,
		test: 'a cold target never gets more requests than its cold capacity after the planned stop of the owner while its target restarts',
	},
	{
		step: Step.LeaseRenewal, faults: [Fault.StoreAnswerLost], file: lease,
		test: 'a lease whose writes never get an answer is confirmed by reading it',
		failsWithout: 'the nonce in the lease',
	},
	{
		step: Step.LeaseRenewal, faults: [Fault.StoreDown], file: lease,
		test: 'in a long outage abc continue to dispatch when a majority of routers reach each other',
		failsWithout: 'the expiry of the lease',
	},
	{
		step: Step.LeaseRenewal, faults: [Fault.CutFromStore], file: lease,
		test: 'a router that is cut off only from the Object API keeps its lease, since peers relay its renewals',
		failsWithout: 'relayed renewals',
	},
	{
		step: Step.LeaseRenewal, faults: [Fault.Pause], file: lease,
		test: 'a router paused past its lease finds it expired in its first step, and its tenure ended',
		failsWithout: 'the expiry of the lease',
	},
	{
		step: Step.LeaseRenewal, faults: [Fault.Restart], file: lease,
		test: 'a restart with an empty memory waits until the lease of the earlier start has expired',
		failsWithout: 'waiting for the lease to expire',
	},
	{
		step: Step.LeaseRenewal, faults: [Fault.CutOneWay, Fault.StoreDown], file: lease,
		test: 'a router that sends digests but receives none stops dispatching in an outage',
		failsWithout: 'the expiry of the lease',
	},
	{
		step: Step.LeaseRenewal, faults: [Fault.CutTwoWay, Fault.StoreDown], file: lease,
		test: 'in a long outage abc continue to dispatch when a majority of routers reach each other',
		failsWithout: 'the expiry of the lease',
	},
	{
		step: Step.TargetClaim, faults: [Fault.Kill], file: ownership,
		test: 'a crashed router\'s targets are taken over once its lease has expired',
	},
	{
		step: Step.TargetClaim, faults: [Fault.InstanceListLate], file: ownership,
		test: 'takeover by the other routers after most have crashed is false when the instance list still contains the crashed ones',
		failsWithout: 'waiting for the lease to expire',
	},
	{
		step: Step.TargetClaim, faults: [Fault.CutFromStore], file: singleOwner,
		test: 'no target is ever served by two routers, and each is served again after the faults: a group without the Object API (seed 1)',
		failsWithout: 'the expiry of the lease',
	},
	{
		step: Step.TargetClaim, faults: [Fault.Pause], file: singleOwner,
		test: 'no target is ever served by two routers, and each is served again after the faults: any faults (seed 1)',
	},
	{
		step: Step.TargetClaim, faults: [Fault.CutTwoWay], file: singleOwner,
		test: 'no target is ever served by two routers, and each is served again after the faults: any faults (seed 2)',
	},
];
