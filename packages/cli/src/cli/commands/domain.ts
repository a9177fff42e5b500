/*
`domain list`, and `domain out` and `domain in`: take a failure domain out of service and bring it back, by a release of
their own.
*/
import {Standing} from '@shallotloom/core/configuration.ts';
import {AuditAction} from '@shallotloom/core/release.ts';
import {tableText} from '../../table-text.ts';
import {report, reportOf, type Command} from '../command.ts';
import {standingCell} from '../standing-cell.ts';

export const domainList: Command = {
	usage: 'domain list',
	describe: 'List failure domains with standing, routers and targets',
	example: 'domain list',
	run: async ({client, terminal}) => reportOf(await client.domains(), domains => tableText(
		['DOMAIN', 'STANDING', 'ROUTERS', 'TARGETS', 'OWNED'],
		domains.map(({name, standing, routers, targets, owned}) => [name, standingCell(standing), routers, targets, owned]),
		terminal.colour,
	)),
};

const actions = {[Standing.Out]: AuditAction.DomainOut, [Standing.In]: AuditAction.DomainIn};

export const domainOut = domainCommand(Standing.Out, 'Give a failure domain no new work; running answers finish', 'domain out suva --reason "power works"');

export const domainIn = domainCommand(Standing.In, 'Give a failure domain new work again', 'domain in suva');

function domainCommand(standing: Standing, describe: string, example: string): Command {
	return {
		usage: `domain ${standing} <name>`,
		describe,
		example,
		options: [{name: 'reason', value: 'TEXT', describe: 'Why, for the audit trail'}],
		async run({positionals: [name = ''], options, client}) {
			const result = await client.apply({
				note: {changed: {failureDomains: [{name, standing}]}},
				reason: options.reason ?? '',
				action: actions[standing],
			});
			return result.kind === 'failed'
				? result
				: report(`failure domain ${name} is ${standing} from revision ${result.value.revision} on`, {...result.value, name, standing});
		},
	};
}
