import {EventEmitter} from 'node:events';
import {
	createProcessLifecycle, ExitCode, ProcessEvent, ProcessState, type ProcessLifecycle,
} from '../src/process-lifecycle.ts';

/** Events that bring a process into each state. */
const ways: Record<ProcessState, ProcessEvent[]> = {
	[ProcessState.Loading]: [],
	[ProcessState.Starting]: [ProcessEvent.Loaded],
	[ProcessState.Serving]: [ProcessEvent.Loaded, ProcessEvent.Started],
	[ProcessState.Draining]: [ProcessEvent.Loaded, ProcessEvent.Started, ProcessEvent.Stop],
	[ProcessState.Ended]: [ProcessEvent.Stop],
};

function enter(state: ProcessState) {
	const done: string[] = [];
	const source = new EventEmitter(); // eslint-disable-line unicorn/prefer-event-target
	const lifecycle: ProcessLifecycle = createProcessLifecycle({
		exit(code) {
			done.push(`exit ${code}`);
		},
		source: source as never,
	});
	lifecycle.setHandlers({
		reload() {
			done.push('reload');
		},
		drain() {
			done.push('drain');
		},
		fail() {
			done.push('fail');
		},
		record() {
			// What is logged is tested with the program.
		},
	});
	for (const event of ways[state]) {
		lifecycle.handle(event);
	}

	done.length = 0;
	return {lifecycle, done, source};
}

const {Loading, Starting, Serving, Draining, Ended} = ProcessState;

// What a signal or a failure leads to in each state: actions, and the state after it.
test.each([
	['SIGHUP', Loading, [], Loading],
	['SIGTERM', Loading, ['exit 0'], Ended],
	['uncaughtException', Loading, ['exit 1'], Ended],
	['SIGHUP', Starting, [], Starting],
	['SIGTERM', Starting, ['exit 0'], Ended],
	['SIGINT', Starting, ['exit 0'], Ended],
	['uncaughtException', Starting, ['exit 1'], Ended],
	['SIGHUP', Serving, ['reload'], Serving],
	['SIGTERM', Serving, ['drain'], Draining],
	['uncaughtException', Serving, ['fail'], Draining],
	['SIGHUP', Draining, [], Draining],
	['SIGTERM', Draining, [], Draining],
	['uncaughtException', Draining, [], Draining],
	['SIGTERM', Ended, [], Ended],
	['SIGHUP', Ended, [], Ended],
] as const)('%s while %s', (signal, state, actions, next) => {
	const {lifecycle, done, source} = enter(state);
	source.emit(signal, new Error('broken'));
	expect(done).toEqual(actions);
	expect(lifecycle.state).toBe(next);
});

test.each([Loading, Starting])('a reload while %s runs once the start is complete', state => {
	const {lifecycle, done, source} = enter(state);
	source.emit('SIGHUP');
	source.emit('SIGHUP');
	lifecycle.handle(ProcessEvent.Loaded);
	lifecycle.handle(ProcessEvent.Started);
	expect(done).toEqual(['reload']);
});

test('a failed start ends the process, with the code of its cause', () => {
	const failed = enter(Starting);
	failed.lifecycle.handle(ProcessEvent.StartFailed, 'address in use');
	expect(failed.done).toEqual([`exit ${ExitCode.Failed}`]);
	const invalid = enter(Starting);
	invalid.lifecycle.handle(ProcessEvent.StartFailed, 'no settings', ExitCode.InvalidSettings);
	expect(invalid.done).toEqual([`exit ${ExitCode.InvalidSettings}`]);
});

test('a stop ends with 0 when it is complete, with 1 when its time is over or after an exception', () => {
	const complete = enter(Draining);
	complete.lifecycle.handle(ProcessEvent.Stopped);
	expect(complete.done).toEqual(['exit 0']);
	const late = enter(Draining);
	late.lifecycle.handle(ProcessEvent.StopFailed);
	expect(late.done).toEqual(['exit 1']);
	const broken = enter(Serving);
	broken.source.emit('uncaughtException', new Error('broken'));
	broken.lifecycle.handle(ProcessEvent.Stopped);
	expect(broken.done).toEqual(['fail', 'exit 1']);
});

test('exceptions that go on during a stop end the process before the time of the stop is over', () => {
	const {source, done} = enter(Draining);
	for (let count = 0; count < 5; count += 1) {
		source.emit('uncaughtException', new Error('broken'));
	}

	expect(done).toEqual(['exit 1']);
});
