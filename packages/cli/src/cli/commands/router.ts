/*
`router list`: lists the members of the fleet as known to the queried router.
*/
import {RouterState} from '@shallotloom/core/operator-api.ts';
import {formatAge, formatTable} from '../../table-text.ts';
import {mapToReport, type Command} from '../command.ts';

export const routerList: Command = {
	usage: 'router list',
	describe: 'List routers with state and revision',
	example: 'router list --router http://127.0.2.1:8082',
	run: async ({client, terminal}) => mapToReport(await client.getMembers(), members => formatTable(
		['ROUTER', 'DOMAIN', 'STATE', 'REVISION', 'HEARD', 'TARGETS', 'CALLERS'],
		members.map(member => [
			member.id,
			member.failureDomain,
			{text: member.state, colour: member.state === RouterState.Active ? 'green' : 'yellow'},
			member.revision,
			formatAge(member.heardAgeMs),
			member.targets,
			member.callerUrl,
		]),
		terminal.hasColour,
	)),
};
