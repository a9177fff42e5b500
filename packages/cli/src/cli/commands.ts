/*
Table of commands, in the order in which the help lists them.
*/
import type {Command} from './command.ts';
import {audit} from './commands/audit.ts';
import {domainIn, domainList, domainOut} from './commands/domain.ts';
import {explain} from './commands/explain.ts';
import {releaseApply} from './commands/release-apply.ts';
import {releaseCheck} from './commands/release-check.ts';
import {releaseHistory} from './commands/release-history.ts';
import {releaseStatus} from './commands/release-status.ts';
import {routerList} from './commands/router.ts';
import {summary} from './commands/summary.ts';
import {targetDrain, targetList, targetShow} from './commands/target.ts';
import {top} from './commands/top.ts';
import {workspaceList, workspaceShow} from './commands/workspace.ts';

export const commands: readonly Command[] = [
	releaseCheck,
	releaseApply,
	releaseStatus,
	releaseHistory,
	domainList,
	domainOut,
	domainIn,
	targetList,
	targetDrain,
	targetShow,
	workspaceList,
	workspaceShow,
	routerList,
	audit,
	top,
	explain,
	summary,
];
