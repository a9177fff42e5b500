/*
`workspace list` and `workspace show`.
*/
import type {WorkspaceReply} from '@shallotloom/core/operator-api.ts';
import {fieldsText, findNamed} from '../../find.ts';
import {tableText} from '../../table-text.ts';
import {reportOf, type Command} from '../command.ts';

export const workspaceList: Command = {
	usage: 'workspace list',
	describe: 'List workspaces with weight, backlog and service',
	example: 'workspace list',
	run: async ({client, terminal}) => reportOf(await client.workspaces(), workspaces => workspacesText(workspaces, terminal.colour)),
};

export const workspaceShow: Command = {
	usage: 'workspace show <id>',
	describe: 'Show one workspace',
	example: 'workspace show nadi-college',
	async run({positionals: [id = ''], client}) {
		const workspace = findNamed('workspace', id, await client.workspaces());
		return reportOf(workspace, found => fieldsText(found));
	},
};

/** Workspaces as a table. */
export function workspacesText(workspaces: readonly WorkspaceReply[], colour: boolean): string {
	const rows = workspaces.map(workspace => [
		workspace.id,
		workspace.weight,
		workspace.waiting,
		workspace.running,
		Math.round(workspace.service),
		percentText(workspace.share),
		Math.round(workspace.gapToShare),
	]);
	return tableText(['WORKSPACE', 'WEIGHT', 'WAITING', 'RUNNING', 'SERVICE', 'SHARE', 'GAP'], rows, colour);
}

function percentText(part: number): string {
	const percent = 100;
	return `${(part * percent).toFixed(1)} %`;
}
