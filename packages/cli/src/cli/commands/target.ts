/*
`target list`, `target show` and `target drain`. The last one takes a target out of service with a release of its own.
*/
import {Standing} from '@shallotloom/core/configuration.ts';
import {PhaseName, type TargetReply} from '@shallotloom/core/operator-api.ts';
import {AuditAction} from '@shallotloom/core/release.ts';
import {formatFields, findEntity} from '../../find.ts';
import {formatTable, type Cell} from '../../table-text.ts';
import {createReport, mapToReport, type Command} from '../command.ts';
import {createStandingCell} from '../standing-cell.ts';

const phaseColours = {
	[PhaseName.Cold]: 'yellow',
	[PhaseName.Ramping]: 'yellow',
	[PhaseName.Warm]: 'green',
	[PhaseName.SetAside]: 'red',
} as const;

/** Cell for a value that only the owner of the target knows. */
const unknownCell = '?';

export const targetList: Command = {
	usage: 'target list',
	describe: 'List targets; phase and permits only of those that the queried router owns',
	example: 'target list',
	run: async ({client, terminal}) => mapToReport(await client.getTargets(), targets => formatTargets(targets, terminal.hasColour)),
};

export const targetShow: Command = {
	usage: 'target show <id>',
	describe: 'Show one target',
	example: 'target show suva-engine-1',
	async run({positionals: [id = ''], client}) {
		const target = findEntity('target', id, await client.getTargets());
		return mapToReport(target, found => formatFields(found));
	},
};

export const targetDrain: Command = {
	usage: 'target drain <id>',
	describe: 'Give a target no new work; running answers finish',
	example: 'target drain suva-engine-1 --reason "driver update"',
	options: [{name: 'reason', placeholder: 'TEXT', describe: 'Why, for the audit trail'}],
	async run({positionals: [id = ''], options, client}) {
		const result = await client.applyNote({
			note: {changed: {targets: [{id, standing: Standing.Out}]}},
			reason: options.reason ?? '',
			action: AuditAction.TargetDrain,
		});
		return result.kind === 'failed'
			? result
			: createReport(`target ${id} gets no new work from revision ${result.value.revision} on`, {...result.value, id, standing: Standing.Out});
	},
};

/** Formats targets as a table. */
export function formatTargets(targets: readonly TargetReply[], hasColour: boolean): string {
	const rows = targets.map((target): Cell[] => [
		target.id,
		target.kind,
		target.failureDomain,
		createStandingCell(target.standing, target.failureDomainStanding),
		target.phase === undefined ? unknownCell : {text: target.phase, colour: phaseColours[target.phase]},
		target.running === undefined || target.budget === undefined ? unknownCell : `${target.running}/${target.budget}`,
		target.owner === '' ? {text: 'none', colour: 'red'} : target.owner,
		target.epoch,
		target.pools.join(','),
	]);
	const table = formatTable(['TARGET', 'KIND', 'DOMAIN', 'STANDING', 'PHASE', 'PERMITS', 'OWNER', 'EPOCH', 'POOLS'], rows, hasColour);
	return targets.some(({phase}) => phase === undefined) ? `${table}\n${unknownCell}: ask the owner, with --router` : table;
}
