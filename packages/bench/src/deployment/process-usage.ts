/*
Reads the CPU time and memory of a process from `/proc`.
*/
import {readFile} from 'node:fs/promises';

/** Length of a CPU tick in `/proc` files. */
const tickMs = 10;

export type ProcessUsage = {
	/** CPU time in user and kernel mode since the process started. */
	cpuMs: number;
	residentBytes: number;
};

/** Reads the usage of a running process. Rejects when there is no such process. */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
	const [stat, status] = await Promise.all([
		readFile(`/proc/${pid}/stat`, 'utf8'),
		readFile(`/proc/${pid}/status`, 'utf8'),
	]);
	return parseUsage(stat, status);
}

/** Parses `/proc/PID/stat` and `/proc/PID/status`. Fields count from after the `)`: the program name may contain spaces. */
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
