import type { CommandName } from './commandName.js';

/** How each command is called, and what it does. */
export const commandHelp: Readonly<Record<CommandName, readonly [usage: string, summary: string]>> = {
  up: ['up FOLDER', 'a real fleet with stand-in replicas, until interrupted'],
  run: ['run FOLDER', 'a real fleet under load, with faults; measurements and the verdict of every checker'],
  sim: ['sim', 'simulated days in virtual time, one for each seed'],
  campaign: ['campaign', 'many simulated days over all deployments; counts by rule and by kind of fault'],
  scenario: ['scenario NAME', 'one failure caused in virtual time, for each seed'],
  digest: ['digest', 'histories of fixed seeds, each as a digest that does not change when fields and strings are renamed'],
  selection: ['selection', 'the selection of replicas by many proxies under a crowd of batches, with and without its rules, for each seed'],
  soak: ['soak FOLDER', 'a real fleet whose clients stay on their connections while its machines are restarted and killed, for each seed'],
  mutations: ['mutations [NAME,...]', 'removes safeguards from a copy of the built tree: the rule must fail without, pass with each'],
};
