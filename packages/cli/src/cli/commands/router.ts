/*
`router list`: the members of the fleet as the asked router hears them.
*/
import {RouterState} from '@shallotloom/core/operator-api.ts';
import {ageText, tableText} from '../../table-text.ts';
import {reportOf, type Command} from '../command.ts';

export const routerList: Command = {
	usage: 'router list',
	describe: 'List routers with state and revision',
	example: 'router list --router http://127.0.2.1:8082',
	run: async ({client, terminal}) => reportOf(await client.members(), members => tableText(
		['ROUTER', 'DOMAIN', 'STATE', 'REVISION', 'HEARD', 'TARGETS', 'CALLERS'],
		members.map(member => [
			member.id,
			member.failureDomain,
			{text: member.state, colour: member.state === RouterState.Active ? 'green' : 'yellow'},
			member.revision,
			ageText(member.heardAgeMs),
			member.targets,
			member.callerUrl,
		]),
		terminal.colour,
	)),
};
