/*
Runs the gateway cores in simulated time, in front of model engines under load, and computes the worth of each fleet to its
callers. It takes seconds and gives the same result for the same seed, so changes of placement, queueing or refusals are tried
here before they run with real programs.
*/
import {runFleet} from '../fleet-model/fleet.ts';
import {fleets} from '../fleet-model/fleets.ts';
import {computeWorth} from '../fleet-model/worth.ts';
import {atMost, roundToThousandths} from '../measure/figures.ts';
import type {Scenario} from './scenario.ts';

export const placement: Scenario = {
	summary: 'the gateway\'s decisions in simulated time: worth to callers, refusals and repeated prefill, by fleet',
	seconds: 32,
	async run({seed, seconds, progress}) {
		const results = Object.entries(fleets).map(([name, fleet]) => {
			const worth = computeWorth(runFleet({
				...fleet, seed, seconds, limits: {},
			}), {seconds, ...fleet});
			const figures = Object.fromEntries(Object.entries(worth).map(([key, value]) => [key, roundToThousandths(value)]));
			progress(`${name} ${JSON.stringify(figures)}`);
			return {name, worth, figures};
		});
		return {
			fleets: Object.fromEntries(results.map(({name, figures}) => [name, figures])),
			bounds: {
				unfairSpans: atMost(Math.max(...results.map(({worth: {unfairSpans}}) => unfairSpans)), 0),
			},
		};
	},
};
