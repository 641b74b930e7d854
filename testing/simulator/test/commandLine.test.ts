import { describe, it } from 'node:test';
import { expect } from 'earl';
import { commandLineFindings, CommandName, helpText, parseCommandLine } from '../src/index.js';

const listed = (pattern: RegExp): readonly string[] =>
  [...helpText().matchAll(pattern)].flatMap(([, name]) => (name === undefined ? [] : [name]));
const problems = (...argv: readonly string[]): readonly string[] =>
  commandLineFindings(parseCommandLine(argv)).map(({ place, message }) => `${place}: ${message}`);

/** An argument with which each command that needs one is complete. */
const completeArguments: Readonly<Record<string, readonly string[]>> = {
  up: ['folder'],
  run: ['folder'],
  soak: ['folder'],
  scenario: ['quiet'],
};

describe('the command line of pewtersim', () => {
  it('knows exactly the commands that its help lists', () => {
    const commands = listed(/^ +\$ pewtersim (\w+)/gm);
    expect([...commands].sort()).toEqual([...CommandName.options].sort());
    for (const command of commands) expect(problems(command, ...(completeArguments[command] ?? []))).toEqual([]);
  });

  it('knows every flag that its help lists', () => {
    const flags = listed(/^ +--(\w+)/gm);
    expect(flags.length).toEqual(12);
    for (const flag of flags) expect(parseCommandLine(['sim', `--${flag}`]).unknownFlags).toEqual([]);
  });

  it('answers an unknown command or flag by its name', () => {
    expect(problems('fly')[0]).toEqual(`command: unknown command fly; there are ${CommandName.options.join(', ')}; see pewtersim --help`);
    expect(problems('sim', '--wing-span', '2')).toEqual(['--wing-span: unknown flag; see pewtersim --help']);
  });

  it('answers an unknown scenario, fault or mutation by its name', () => {
    expect(problems('scenario', 'none')[0]?.startsWith('NAME: no scenario none; there are ')).toEqual(true);
    expect(problems('sim', '--faults', 'killFront,none')[0]?.startsWith('--faults: no fault none; there are ')).toEqual(true);
    expect(problems('mutations', 'retryRule,none')[0]?.startsWith('NAME: no mutation none; there are ')).toEqual(true);
  });

  it('still takes guards for mutations, and names the command to use', () => {
    const line = parseCommandLine(['guards', 'retryRule']);
    expect([line.command, line.argument, line.notice]).toEqual([
      'mutations',
      'retryRule',
      'guards is an old name; the command is mutations',
    ]);
    expect(commandLineFindings(line)).toEqual([]);
  });
});
