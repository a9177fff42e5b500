/*
Scenarios by their name on the command line.
*/
import {atMostOnce} from './at-most-once.ts';
import {coldStart} from './cold-start.ts';
import {configuration} from './configuration.ts';
import {control} from './control.ts';
import {coreSize} from './core-size.ts';
import {failureDomain} from './failure-domain.ts';
import {domainCrash} from './domain-crash.ts';
import {fairness} from './fairness.ts';
import {harmfulPrompts, harmfulRequests} from './quarantine.ts';
import {overhead} from './overhead.ts';
import {placement} from './placement.ts';
import {rollouts, targetRestarts} from './rollouts.ts';
import {rollingRestart} from './rolling-restart.ts';
import type {Scenario} from './scenario.ts';
import {streaming} from './streaming.ts';
import {starvation} from './starvation.ts';
import {stop} from './stop.ts';
import {utilisation} from './utilisation.ts';

export const scenarios: Record<string, Scenario | undefined> = {
	fairness,
	starvation,
	utilisation,
	'failure-domain': failureDomain,
	'domain-crash': domainCrash,
	'cold-start': coldStart,
	control,
	'core-size': coreSize,
	overhead,
	placement,
	'harmful-prompts': harmfulPrompts,
	'harmful-requests': harmfulRequests,
	rollouts,
	'target-restarts': targetRestarts,
	stop,
	'rolling-restart': rollingRestart,
	configuration,
	'at-most-once': atMostOnce,
	streaming,
};
