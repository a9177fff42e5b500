/*
`top`: shows workspaces by backlog and served tokens, and targets by phase and permits. On a terminal it is redrawn every
second, otherwise printed once.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {
	PhaseName, type StatusReply, type TargetReply, type WorkspaceReply,
} from '@shallotloom/core/operator-api.ts';
import type {Client} from '../../client.ts';
import {describeError, type Result} from '../../errors.ts';
import {createReport, mapToReport, type Command} from '../command.ts';
import {formatTargets} from './target.ts';
import {formatWorkspaces} from './workspace.ts';

const redrawIntervalMs = 1000;
const clearScreen = '\u001B[H\u001B[J';

/** Data of one screen. */
export type TopView = {
	status: StatusReply;
	workspaces: WorkspaceReply[];
	targets: TargetReply[];
};

export const top: Command = {
	usage: 'top',
	describe: 'Watch workspaces and targets',
	example: 'top',
	async run({client, terminal, json}) {
		if (json || !terminal.isInteractive) {
			return mapToReport(await fetchView(client), view => formatView(view, terminal.hasColour));
		}

		while (!terminal.signal.aborted) {
			const view = await fetchView(client);
			terminal.write(`${clearScreen}${formatScreen(view, terminal.hasColour)}\n`);
			// An abort rejects the delay, and the loop condition then ends the loop.
			await delay(redrawIntervalMs, undefined, {signal: terminal.signal}).catch(() => undefined);
		}

		return createReport('', null);
	},
};

async function fetchView(client: Client): Promise<Result<TopView>> {
	const [status, workspaces, targets] = await Promise.all([client.getStatus(), client.getWorkspaces(), client.getTargets()]);
	if (status.kind === 'failed') {
		return status;
	}

	if (workspaces.kind === 'failed') {
		return workspaces;
	}

	return targets.kind === 'failed'
		? targets
		: {kind: 'ok', value: {status: status.value, workspaces: sortByBacklog(workspaces.value), targets: sortByPhase(targets.value)}};
}

/** Formats the screen. An error is shown on it instead of ending the command, so that a short outage of the router doesn't. */
function formatScreen(view: Result<TopView>, hasColour: boolean): string {
	if (view.kind === 'ok') {
		return formatView(view.value, hasColour);
	}

	const {message, hint} = describeError(view.error);
	return `error: ${message}\n${hint}`;
}

function formatView({status, workspaces, targets}: TopView, hasColour: boolean): string {
	const {members, of, revision} = status.inForce;
	const head = `${status.router} ${status.state}, revision ${revision} in force on ${members} of ${of}`;
	return [head, '', formatWorkspaces(workspaces, hasColour), '', formatTargets(targets, hasColour)].join('\n');
}

function sortByBacklog(workspaces: WorkspaceReply[]): WorkspaceReply[] {
	return workspaces.toSorted((left, right) => right.waiting - left.waiting || right.service - left.service);
}

/** Sort order: phases that need attention first, targets of other owners, whose phase is unknown, last. */
const phaseOrder = [PhaseName.SetAside, PhaseName.Cold, PhaseName.Ramping, PhaseName.Warm, undefined];

function sortByPhase(targets: TargetReply[]): TargetReply[] {
	return targets.toSorted((left, right) =>
		phaseOrder.indexOf(left.phase) - phaseOrder.indexOf(right.phase) || (right.running ?? 0) - (left.running ?? 0));
}
