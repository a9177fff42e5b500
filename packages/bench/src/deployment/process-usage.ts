/*
Reads what a process uses from the kernel's process files.
*/
import {readFile} from 'node:fs/promises';

/** Length of one CPU tick of the kernel's process files, in milliseconds. */
const tickMs = 10;

export type ProcessUsage = {
	/** CPU time in user and kernel mode since the process started. */
	cpuMs: number;
	residentBytes: number;
};

/** Usage of a running process. Rejects when there is no such process. */
export async function processUsage(pid: number): Promise<ProcessUsage> {
	const [stat, status] = await Promise.all([
		readFile(`/proc/${pid}/stat`, 'utf8'),
		readFile(`/proc/${pid}/status`, 'utf8'),
	]);
	return parseUsage(stat, status);
}

/** Parses the two process files. The name of the program may hold spaces, so fields count from its closing bracket. */
export function parseUsage(stat: string, status: string): ProcessUsage {
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const userTicks = Number(fields[11]);
	const kernelTicks = Number(fields[12]);
	const resident = status.split('\n').find(line => line.startsWith('VmRSS:')) ?? '';
	return {
		cpuMs: (userTicks + kernelTicks) * tickMs,
		residentBytes: Number.parseInt(resident.slice('VmRSS:'.length), 10) * 1024,
	};
}
