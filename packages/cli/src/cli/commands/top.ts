/*
`top`: workspaces by backlog and service, targets by phase and permits; redrawn each second on a terminal, printed once
otherwise.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {
	PhaseName, type StatusReply, type TargetReply, type WorkspaceReply,
} from '@shallotloom/core/operator-api.ts';
import type {Client} from '../../client.ts';
import {explain, type Result} from '../../errors.ts';
import {report, reportOf, type Command} from '../command.ts';
import {targetsText} from './target.ts';
import {workspacesText} from './workspace.ts';

const redrawMs = 1000;
const clearScreen = '\u001B[H\u001B[J';

/** What one view shows. */
export type View = {
	status: StatusReply;
	workspaces: WorkspaceReply[];
	targets: TargetReply[];
};

export const top: Command = {
	usage: 'top',
	describe: 'Watch workspaces and targets',
	example: 'top',
	async run({client, terminal, json}) {
		if (json || !terminal.interactive) {
			return reportOf(await readView(client), view => viewText(view, terminal.colour));
		}

		while (!terminal.signal.aborted) {
			const view = await readView(client);
			terminal.write(`${clearScreen}${screenText(view, terminal.colour)}\n`);
			// An abort ends the wait early and the loop with it.
			await delay(redrawMs, undefined, {signal: terminal.signal}).catch(() => undefined);
		}

		return report('', null);
	},
};

async function readView(client: Client): Promise<Result<View>> {
	const [status, workspaces, targets] = await Promise.all([client.status(), client.workspaces(), client.targets()]);
	if (status.kind === 'failed') {
		return status;
	}

	if (workspaces.kind === 'failed') {
		return workspaces;
	}

	return targets.kind === 'failed'
		? targets
		: {kind: 'ok', value: {status: status.value, workspaces: byBacklog(workspaces.value), targets: byPhase(targets.value)}};
}

/** A router that doesn't answer for a moment doesn't end the view. */
function screenText(view: Result<View>, colour: boolean): string {
	if (view.kind === 'ok') {
		return viewText(view.value, colour);
	}

	const {message, hint} = explain(view.error);
	return `error: ${message}\n${hint}`;
}

function viewText({status, workspaces, targets}: View, colour: boolean): string {
	const {members, of, revision} = status.inForce;
	const head = `${status.router} ${status.state}, revision ${revision} in force on ${members} of ${of}`;
	return [head, '', workspacesText(workspaces, colour), '', targetsText(targets, colour)].join('\n');
}

function byBacklog(workspaces: WorkspaceReply[]): WorkspaceReply[] {
	return workspaces.toSorted((left, right) => right.waiting - left.waiting || right.service - left.service);
}

/** Phases that need attention first; those of other routers' targets last. */
const phaseOrder = [PhaseName.SetAside, PhaseName.Cold, PhaseName.Ramping, PhaseName.Warm, undefined];

function byPhase(targets: TargetReply[]): TargetReply[] {
	return targets.toSorted((left, right) =>
		phaseOrder.indexOf(left.phase) - phaseOrder.indexOf(right.phase) || (right.running ?? 0) - (left.running ?? 0));
}
