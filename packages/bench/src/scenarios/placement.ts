/*
The cores of the gateway in simulated time, in front of model engines under load: what callers of each fleet get. It takes
seconds and is the same for one seed, so a change of placing, queueing or refusing is tried here before it is played in full.
*/
import {runFleet} from '../fleet-model/fleet.ts';
import {fleets} from '../fleet-model/fleets.ts';
import {computeWorth} from '../fleet-model/worth.ts';
import {atMost, rounded} from '../measure/figures.ts';
import type {Scenario} from './scenario.ts';

export const placement: Scenario = {
	summary: 'the gateway\'s decisions in simulated time: worth to callers, refusals, tokens read again, by fleet',
	seconds: 32,
	async run({seed, seconds, progress}) {
		const results = Object.entries(fleets).map(([name, fleet]) => {
			const worth = computeWorth(runFleet({
				...fleet, seed, seconds, limits: {},
			}), {seconds, ...fleet});
			const figures = Object.fromEntries(Object.entries(worth).map(([key, value]) => [key, rounded(value)]));
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
