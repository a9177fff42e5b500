/*
Table cell for the standing of a target or failure domain.
*/
import {Standing} from '@shallotloom/core/configuration.ts';
import type {Cell} from '../table-text.ts';

/** Creates a cell, in red when the standing is out; `domain out` when only the target's failure domain is out. */
export function createStandingCell(standing: Standing, domainStanding: Standing = Standing.In): Cell {
	if (standing === Standing.Out) {
		return {text: 'out', colour: 'red'};
	}

	return domainStanding === Standing.Out ? {text: 'domain out', colour: 'red'} : 'in';
}
