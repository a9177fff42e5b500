/*
`target list`, `target show` and `target drain`.
*/
import {Standing} from '@shallotloom/core/configuration.ts';
import {PhaseName, type TargetReply} from '@shallotloom/core/operator-api.ts';
import {AuditAction} from '@shallotloom/core/release.ts';
import {fieldsText, findNamed} from '../../find.ts';
import {tableText, type Cell} from '../../table-text.ts';
import {report, reportOf, type Command} from '../command.ts';
import {standingCell} from '../standing-cell.ts';

const phaseColours = {
	[PhaseName.Cold]: 'yellow',
	[PhaseName.Ramping]: 'yellow',
	[PhaseName.Warm]: 'green',
	[PhaseName.SetAside]: 'red',
} as const;

/** Shown where only the owner of the target knows the value. */
const unknown = '?';

export const targetList: Command = {
	usage: 'target list',
	describe: 'List targets; phase and permits of those that the asked router owns',
	example: 'target list',
	run: async ({client, terminal}) => reportOf(await client.targets(), targets => targetsText(targets, terminal.colour)),
};

export const targetShow: Command = {
	usage: 'target show <id>',
	describe: 'Show one target',
	example: 'target show suva-engine-1',
	async run({positionals: [id = ''], client}) {
		const target = findNamed('target', id, await client.targets());
		return reportOf(target, found => fieldsText(found));
	},
};

export const targetDrain: Command = {
	usage: 'target drain <id>',
	describe: 'Give a target no new work; running answers finish',
	example: 'target drain suva-engine-1 --reason "driver update"',
	options: [{name: 'reason', value: 'TEXT', describe: 'Why, for the audit trail'}],
	async run({positionals: [id = ''], options, client}) {
		const result = await client.apply({
			note: {changed: {targets: [{id, standing: Standing.Out}]}},
			reason: options.reason ?? '',
			action: AuditAction.TargetDrain,
		});
		return result.kind === 'failed'
			? result
			: report(`target ${id} gets no new work from revision ${result.value.revision} on`, {...result.value, id, standing: Standing.Out});
	},
};

/** Targets as a table. */
export function targetsText(targets: readonly TargetReply[], colour: boolean): string {
	const rows = targets.map((target): Cell[] => [
		target.id,
		target.kind,
		target.failureDomain,
		standingCell(target.standing, target.failureDomainStanding),
		target.phase === undefined ? unknown : {text: target.phase, colour: phaseColours[target.phase]},
		target.running === undefined || target.budget === undefined ? unknown : `${target.running}/${target.budget}`,
		target.owner === '' ? {text: 'none', colour: 'red'} : target.owner,
		target.epoch,
		target.pools.join(','),
	]);
	const table = tableText(['TARGET', 'KIND', 'DOMAIN', 'STANDING', 'PHASE', 'PERMITS', 'OWNER', 'EPOCH', 'POOLS'], rows, colour);
	return targets.some(({phase}) => phase === undefined) ? `${table}\n${unknown}: ask the owner, with --router` : table;
}
