/*
Fifty drawn fleets in simulated time, in which some requests hold a prompt segment that crashes engines.
*/
import {runHarmfulFleet} from '../fleet-model/harmful-fleets.ts';
import {atMost} from '../measure/figures.ts';
import type {Scenario} from './scenario.ts';

const fleetCount = 50;

/** Requests with the segment that may reach engines once the fleet must know it. */
const allowedLateArrivals = 3;

export const harmfulPrompts: Scenario = {
	summary: 'quarantine of prompt segments that crash engines, in simulated time: fifty drawn fleets',
	seconds: 90,
	async run({seed, progress}) {
		const results = Array.from({length: fleetCount}, (_, index) => {
			const fleetSeed = (seed * 1000) + index;
			const result = runHarmfulFleet(fleetSeed);
			progress(`${fleetSeed} ${JSON.stringify(result)}`);
			return result;
		});
		return {
			bounds: {
				lateArrivals: atMost(Math.max(...results.map(({lateArrivals}) => lateArrivals)), allowedLateArrivals),
				wrongQuarantines: atMost(results.filter(({wrongQuarantines}) => wrongQuarantines.length > 0).length, 0),
			},
		};
	},
};
