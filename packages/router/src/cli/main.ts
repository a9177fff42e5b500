/*
Entry of the program `shallotloom-router`. It handles signals before it loads the program itself, which takes much longer.
*/
import {createProcessLifecycle} from '../process-lifecycle.ts';

const lifecycle = createProcessLifecycle();
const {runProgram} = await import('./program.ts');
runProgram(lifecycle);
