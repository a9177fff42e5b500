/*
`domain out` and `domain in`: take a failure domain out of service and bring it back, by a release of their own.
*/
import {Standing} from '@shallotloom/core/configuration.ts';
import {report, type Command} from '../command.ts';

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
				action: `domain ${standing}`,
			});
			return result.kind === 'failed'
				? result
				: report(`failure domain ${name} is ${standing} from revision ${result.value.revision} on`, {...result.value, name, standing});
		},
	};
}
