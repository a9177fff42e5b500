/*
Cell for the standing of a target or failure domain.
*/
import {Standing} from '@shallotloom/core/configuration.ts';
import type {Cell} from '../table-text.ts';

/** Standing as a cell, in red when it is out; `domain out` when just the failure domain is. */
export function standingCell(standing: Standing, ofDomain: Standing = Standing.In): Cell {
	if (standing === Standing.Out) {
		return {text: 'out', colour: 'red'};
	}

	return ofDomain === Standing.Out ? {text: 'domain out', colour: 'red'} : 'in';
}
