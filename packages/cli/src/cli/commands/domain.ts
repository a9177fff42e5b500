/*
`domain list`, `domain out` and `domain in`. The last two take a failure domain out of service and back into it, each with a
release of its own.
*/
import {Standing} from '@shallotloom/core/configuration.ts';
import {AuditAction} from '@shallotloom/core/release.ts';
import {formatTable} from '../../table-text.ts';
import {createReport, mapToReport, type Command} from '../command.ts';
import {createStandingCell} from '../standing-cell.ts';

export const domainList: Command = {
	usage: 'domain list',
	describe: 'List failure domains with standing, routers and targets',
	example: 'domain list',
	run: async ({client, terminal}) => mapToReport(await client.getDomains(), domains => formatTable(
		['DOMAIN', 'STANDING', 'ROUTERS', 'TARGETS', 'OWNED'],
		domains.map(({name, standing, routers, targets, owned}) => [name, createStandingCell(standing), routers, targets, owned]),
		terminal.hasColour,
	)),
};

const auditActions = {[Standing.Out]: AuditAction.DomainOut, [Standing.In]: AuditAction.DomainIn};

export const domainOut = createDomainCommand(Standing.Out, 'Give a failure domain no new work; running answers finish', 'domain out suva --reason "power works"');

export const domainIn = createDomainCommand(Standing.In, 'Give a failure domain new work again', 'domain in suva');

function createDomainCommand(standing: Standing, describe: string, example: string): Command {
	return {
		usage: `domain ${standing} <name>`,
		describe,
		example,
		options: [{name: 'reason', placeholder: 'TEXT', describe: 'Why, for the audit trail'}],
		async run({positionals: [name = ''], options, client}) {
			const result = await client.applyNote({
				note: {changed: {failureDomains: [{name, standing}]}},
				reason: options.reason ?? '',
				action: auditActions[standing],
			});
			return result.kind === 'failed'
				? result
				: createReport(`failure domain ${name} is ${standing} from revision ${result.value.revision} on`, {...result.value, name, standing});
		},
	};
}
