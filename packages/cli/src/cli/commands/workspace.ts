/*
`workspace list` and `workspace show`.
*/
import type {WorkspaceReply} from '@shallotloom/core/operator-api.ts';
import {formatFields, findEntity} from '../../find.ts';
import {formatTable} from '../../table-text.ts';
import {mapToReport, type Command} from '../command.ts';

export const workspaceList: Command = {
	usage: 'workspace list',
	describe: 'List workspaces with weight, backlog and served tokens',
	example: 'workspace list',
	run: async ({client, terminal}) => mapToReport(await client.getWorkspaces(), workspaces => formatWorkspaces(workspaces, terminal.hasColour)),
};

export const workspaceShow: Command = {
	usage: 'workspace show <id>',
	describe: 'Show one workspace',
	example: 'workspace show nadi-college',
	async run({positionals: [id = ''], client}) {
		const workspace = findEntity('workspace', id, await client.getWorkspaces());
		return mapToReport(workspace, found => formatFields(found));
	},
};

/** Formats workspaces as a table. */
export function formatWorkspaces(workspaces: readonly WorkspaceReply[], hasColour: boolean): string {
	const rows = workspaces.map(workspace => [
		workspace.id,
		workspace.weight,
		workspace.waiting,
		workspace.running,
		Math.round(workspace.service),
		formatPercent(workspace.share),
		Math.round(workspace.gapToShare),
	]);
	return formatTable(['WORKSPACE', 'WEIGHT', 'WAITING', 'RUNNING', 'SERVICE', 'SHARE', 'GAP'], rows, hasColour);
}

function formatPercent(fraction: number): string {
	const percent = 100;
	return `${(fraction * percent).toFixed(1)} %`;
}
