/*
The cells of the fault matrix. `without` names what was taken out of a scratch copy to see the test fail; the faults that a
property test draws count for a cell only where the test failed for a lack of the mechanism that the fault calls for.
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
		test: 'the permits of a crashed router are free again once its load report shows that they have ended, and its tickets get none',
		without: 'dropping abandoned permits',
	},
	{
		step: Step.RequestQueued, faults: [Fault.CutFromStore], file: runs,
		test: 'store cut off at the check: refused as not run, and nothing leaves',
	},
	{
		step: Step.RequestQueued, faults: [Fault.StoreDown], file: runs,
		test: 'store down at the check: refused as not run, and nothing leaves',
	},
	{
		step: Step.RequestGranted, faults: [Fault.Pause], file: requests,
		test: 'a permit that reached a router while it was paused is void, and the request gets another',
		without: 'the age limit of permits',
	},
	{
		step: Step.RequestGranted, faults: [Fault.CutTwoWay], file: budgets,
		test: 'a request whose grant was lost is placed again',
		without: 'dropping abandoned permits',
	},
	{
		step: Step.RequestGranted, faults: [Fault.TargetCold], file: budgets,
		test: 'a cold target gets no more than it carries after a restart without warning',
	},
	{
		step: Step.RequestGranted, faults: [Fault.LoadReportLate], file: budgets,
		test: 'a load report that doesn\'t come sets a target aside only when nothing else shows that it lives',
	},
	{
		step: Step.RequestGranted, faults: [Fault.TargetCold, Fault.LoadReportLate], file: budgets,
		test: 'a cold target gets no more than it carries after a restart with load reports that lag by 3 s',
	},
	{
		step: Step.RequestGranted, faults: [Fault.Kill, Fault.LoadReportLate], file: budgets,
		test: 'a cold target gets no more than it carries after the owner\'s crash with load reports that lag by 3 s',
	},
	{
		step: Step.RequestGranted, faults: [Fault.Kill, Fault.TargetCold], file: budgets,
		test: 'a cold target gets no more than it carries after a holder\'s crash together with the target\'s restart',
		without: 'dropping abandoned permits',
	},
	{
		step: Step.RequestGranted, faults: [Fault.StoreSlow], file: budgets,
		test: 'a permit that is too old when the run record is written isn\'t used, and the request runs once with another',
	},
	{
		step: Step.RequestGranted, faults: [Fault.CutFromTarget], file: refusals,
		test: 'a target that can\'t be connected: refused as not run, with a time to come back',
	},
	{
		step: Step.RequestRunning, faults: [Fault.Kill], file: budgets,
		test: 'the permits of a crashed router are free again once its lease has lapsed, without load reports, and its tickets get none',
		without: 'dropping abandoned permits',
	},
	{
		step: Step.RequestRunning, faults: [Fault.TargetSlow], file: budgets,
		test: 'a target that turns slow goes back to its cold budget',
		without: 'falling back for slow answers',
	},
	{
		step: Step.RequestRunning, faults: [Fault.TargetDies], file: wholeAnswers,
		test: 'a stream that breaks at token 7 of 12 is resumed without a lost or doubled token',
	},
	{
		step: Step.RequestRunning, faults: [Fault.TargetDies], file: wholeAnswers,
		test: 'a stream whose engine lost it ends with an error event and a broken connection',
	},
	{
		step: Step.RequestRunning, faults: [Fault.AnswersLate], file: wholeAnswers,
		test: 'streamed answers of an engine that come late reach their caller whole',
	},
	{
		step: Step.RequestRunning, faults: [Fault.AnswersLate], file: requests,
		test: 'a request without a byte of answer at its deadline is given up as unknown and cancelled at its target',
	},
	{
		step: Step.RequestRunning, faults: [Fault.AnswersCrossed], file: wholeAnswers,
		test: 'streamed answers of an engine that come for another request reach their caller whole',
	},
	{
		step: Step.OnceClaimed, faults: [Fault.StoreAnswerLost], file: runs,
		test: 'a claim whose answer is lost after its effect is recognised by its nonce',
		without: 'the nonce in the run record',
	},
	{
		step: Step.OnceClaimed, faults: [Fault.StoreDown], file: runs,
		test: 'store down at the claim: refused as not run, the permit goes back, and the key stays usable',
	},
	{
		step: Step.OnceClaimed, faults: [Fault.CutFromStore], file: runs,
		test: 'store cut off at the claim: refused as not run, the permit goes back, and the key stays usable',
	},
	{
		step: Step.OnceClaimed, faults: [Fault.StoreSlow], file: runs,
		test: 'a claim that takes effect after it was given up is removed, and the key runs once',
		without: 'comparing the nonce of a run record before it is removed',
	},
	{
		step: Step.OnceClaimed, faults: [Fault.Kill], file: runs,
		test: 'a router killed between record and dispatch and stays away: duplicates hear "unknown" promptly, and for good once the runner is surely gone',
	},
	{
		step: Step.OnceClaimed, faults: [Fault.Restart], file: runs,
		test: 'a router killed between record and dispatch and restarts: duplicates hear "unknown" promptly, and for good once the runner is surely gone',
	},
	{
		step: Step.OnceRunning, faults: [Fault.Kill], file: runs,
		test: 'a router killed between dispatch and answer and stays away: duplicates hear "unknown" promptly, and for good once the runner is surely gone',
	},
	{
		step: Step.OnceRunning, faults: [Fault.Restart], file: runs,
		test: 'a router killed between dispatch and answer and restarts: duplicates hear "unknown" promptly, and for good once the runner is surely gone',
	},
	{
		step: Step.OnceRunning, faults: [Fault.CutTwoWay], file: runs,
		test: 'a runner that is only silent for a while still gives its answer to whoever comes back',
	},
	{
		step: Step.OnceRunning, faults: [Fault.AnswersCrossed], file: runs,
		test: 'a once request whose attempt is answered for another request leaves no second time unless nothing left',
	},
	{
		step: Step.OnceRunning, faults: [Fault.TargetDies], file: runs,
		test: 'a once request whose attempt is broken leaves no second time unless nothing left',
	},
	{
		step: Step.OnceRunning, faults: [Fault.AnswersLate], file: refusals,
		test: 'a once call whose answer comes after the deadline has run once, is unknown, and stays so for its key',
	},
	{
		step: Step.Handover, faults: [Fault.StoreAnswerLost], file: ownership,
		test: 'a handover with the answer of the write lost has one new owner, at the next epoch, soon',
	},
	{
		step: Step.Handover, faults: [Fault.CutFromStore], file: ownership,
		test: 'a handover with the write lost has one new owner, at the next epoch, soon',
		without: 'looking up a lost handover',
	},
	{
		step: Step.Handover, faults: [Fault.StoreDown], file: ownership,
		test: 'a handover with the write refused has one new owner, at the next epoch, soon',
	},
	{
		step: Step.Handover, faults: [Fault.CutOneWay], file: ownership,
		test: 'a handover with the message lost has one new owner, at the next epoch, soon',
	},
	{
		step: Step.Handover, faults: [Fault.Kill], file: ownership,
		test: 'a handover to a router that has just died is taken over from it',
	},
	{
		step: Step.Handover, faults: [Fault.StoreSlow], file: ownership,
		test: 'an owner doesn\'t take a target back while its lost handover may still take effect',
		without: 'looking up a lost handover',
	},
	{
		step: Step.ReleaseProposed, faults: [Fault.StoreAnswerLost], file: releases,
		test: 'a release whose write fails once by answer-lost is accepted and never doubled',
		without: 'the nonce in the release',
	},
	{
		step: Step.ReleaseProposed, faults: [Fault.CutFromStore], file: releases,
		test: 'an operator is told unknown when no write is ever answered',
		without: 'remembering an unanswered write',
	},
	{
		step: Step.ReleaseProposed, faults: [Fault.StoreDown], file: releases,
		test: 'an operator is told unavailable when the store is down from the first',
	},
	{
		step: Step.ReleaseProposed, faults: [Fault.CutFromStore, Fault.StoreDown], file: releases,
		test: 'an operator is told unknown when the write is lost and then the store is down',
		without: 'remembering an unanswered write',
	},
	{
		step: Step.ReleaseProposed, faults: [Fault.StoreAnswerLost, Fault.StoreDown], file: releases,
		test: 'an operator is told unknown when the answer is lost and it can\'t be looked up',
		without: 'remembering an unanswered write',
	},
	{
		step: Step.ReleaseProposed, faults: [Fault.OperatorsRacing], file: releases,
		test: 'of two operators that race one is told what came in between when both named it',
		without: 'the check of the revision that an operator named',
	},
	{
		step: Step.ReleaseSpread, faults: [Fault.StoreSlow], file: releases,
		test: 'watch events in any order, twice, late or with gaps never lower a revision, and all routers agree at the end',
		without: 'asking for missing releases',
	},
	{
		step: Step.ReleaseSpread, faults: [Fault.CutFromStore], file: releases,
		test: 'a router without the Object API and without watch events takes releases from a peer',
		without: 'asking peers for releases',
	},
	{
		step: Step.ReleaseSpread, faults: [Fault.Restart], file: releases,
		test: 'an accepted release is in force everywhere, also at a router that starts later',
	},
	{
		step: Step.Stop, faults: [Fault.Kill], file: stop,
		test: 'a planned stop ends, though not before callers have dropped the address: one while another is killed',
	},
	{
		step: Step.Stop, faults: [Fault.StoreDown], file: stop,
		test: 'a planned stop ends, though not before callers have dropped the address: one while the store is down',
		without: 'the bound on waiting for the store',
	},
	{
		step: Step.Stop, faults: [Fault.CutFromStore], file: stop,
		test: 'a planned stop ends, though not before callers have dropped the address: one while the store does not answer',
		without: 'the bound on waiting for the store',
	},
	{
		step: Step.Stop, faults: [Fault.StoreAnswerLost], file: stop,
		test: 'a planned stop ends, though not before callers have dropped the address: all while store answers are lost',
		without: 'the bound on waiting for the store',
	},
	{
		step: Step.Stop, faults: [Fault.CutFromPeers], file: stop,
		test: 'a planned stop ends, though not before callers have dropped the address: one that is cut from its peers',
	},
	{
		step: Step.Stop, faults: [Fault.Restart], file: stop,
		test: 'routers that stop one after the other end, and the last releases its targets for the next start',
		without: 'releasing owner records',
	},
	{
		step: Step.Stop, faults: [Fault.TargetCold], file: budgets,
		test: 'a cold target gets no more than it carries after the planned stop of the owner while its target restarts',
	},
	{
		step: Step.LeaseRenewal, faults: [Fault.StoreAnswerLost], file: lease,
		test: 'a lease whose every answer is lost is confirmed by reading it',
		without: 'the nonce in the lease',
	},
	{
		step: Step.LeaseRenewal, faults: [Fault.StoreDown], file: lease,
		test: 'in a long outage abc go on when a majority hears each other',
		without: 'the lapse of the lease',
	},
	{
		step: Step.LeaseRenewal, faults: [Fault.CutFromStore], file: lease,
		test: 'a router cut from the Object API alone goes on, since peers relay its renewals',
		without: 'relayed renewals',
	},
	{
		step: Step.LeaseRenewal, faults: [Fault.Pause], file: lease,
		test: 'a router paused past its lease finds it lapsed in its first step, and its tenure ended',
		without: 'the lapse of the lease',
	},
	{
		step: Step.LeaseRenewal, faults: [Fault.Restart], file: lease,
		test: 'a restart with an empty memory waits until the earlier start has surely stopped',
		without: 'waiting out the lease',
	},
	{
		step: Step.LeaseRenewal, faults: [Fault.CutOneWay, Fault.StoreDown], file: lease,
		test: 'a router that is only heard, and hears nobody, stops in an outage',
		without: 'the lapse of the lease',
	},
	{
		step: Step.LeaseRenewal, faults: [Fault.CutTwoWay, Fault.StoreDown], file: lease,
		test: 'in a long outage abc go on when a majority hears each other',
		without: 'the lapse of the lease',
	},
	{
		step: Step.TargetClaim, faults: [Fault.Kill], file: ownership,
		test: 'a crashed router\'s targets are taken over once its lease has lapsed',
	},
	{
		step: Step.TargetClaim, faults: [Fault.InstanceListLate], file: ownership,
		test: 'after a crash of most routers the rest takes over: false when the instance list still has them',
		without: 'waiting out the lease',
	},
	{
		step: Step.TargetClaim, faults: [Fault.CutFromStore], file: singleOwner,
		test: 'no two routers may ever serve one target, and each is served again after the faults: a group without the Object API (seed 1)',
		without: 'the lapse of the lease',
	},
	{
		step: Step.TargetClaim, faults: [Fault.Pause], file: singleOwner,
		test: 'no two routers may ever serve one target, and each is served again after the faults: any faults (seed 1)',
	},
	{
		step: Step.TargetClaim, faults: [Fault.CutTwoWay], file: singleOwner,
		test: 'no two routers may ever serve one target, and each is served again after the faults: any faults (seed 2)',
	},
];
