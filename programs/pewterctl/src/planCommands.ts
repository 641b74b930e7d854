import { readFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';
import * as v from 'valibot';
import { check } from '@pewterlanding/model';
import type { Command } from './command.js';
import type { CommandReturn } from './commandReturn.js';
import type { ControllerClient } from './controllerClient.js';
import type { ControllerReturn } from './controllerReturn.js';
import { emptyingStores } from './emptyingStores.js';
import { exitCode } from './exitCode.js';
import { failedReturn } from './failedReturn.js';
import { readView } from './readView.js';
import { show } from './show.js';
import { usageReturn } from './usageReturn.js';
import { views } from './views.js';

const Fields = v.record(v.string(), v.unknown());
const confirmExitCodes: Readonly<Record<number, number>> = {
  200: exitCode.done,
  409: exitCode.conflict,
  428: exitCode.needsAcknowledgement,
  504: exitCode.notInForce,
};

/** Commands that propose, confirm and show plans. */
export const planCommands: Readonly<Record<'plan' | 'confirm' | 'showplan' | 'empty', Command>> = {
  plan: {
    usage: 'FILE [--part]',
    help: 'propose a whole configuration, or with --part a JSON merge patch; - reads stdin',
    run: async ({ controller, args, part }) => {
      const [file] = args;
      if (file === undefined) return usageReturn('plan FILE [--part]');
      const content = file === '-' ? await text(process.stdin) : await readFile(file, 'utf8');
      const read = check(Fields, JSON.parse(content));
      if (!read.ok) return usageReturn('plan FILE [--part], where FILE holds a JSON object');
      return propose(controller, part ? { part: read.value } : { whole: read.value });
    },
  },
  confirm: {
    usage: 'PLAN [--acknowledge]',
    help: 'put a plan in force, and wait until it is in force everywhere',
    run: async ({ controller, args, acknowledge }) => {
      const [plan] = args;
      if (plan === undefined) return usageReturn('confirm PLAN [--acknowledge]');
      const path = `/v1/plans/${encodeURIComponent(plan)}/confirm`;
      return confirmReturn(await controller.ask('POST', path, { acknowledged: acknowledge }));
    },
  },
  showplan: {
    usage: 'PLAN',
    help: 'show a plan: its differences, effects and outcome',
    run: async ({ controller, args }) => {
      const [plan] = args;
      if (plan === undefined) return usageReturn('showplan PLAN');
      return readView(controller, `/v1/plans/${encodeURIComponent(plan)}`, views.plan, show.plan);
    },
  },
  empty: {
    usage: 'STORE',
    help: 'propose to empty a store, so that it can be retired',
    run: async ({ controller, args }) => {
      const [store] = args;
      if (store === undefined) return usageReturn('empty STORE');
      const already = await emptyingStores(controller);
      return propose(controller, { part: { emptying: [...new Set([...already, store])] } });
    },
  },
};

async function propose(controller: ControllerClient, proposal: unknown): Promise<CommandReturn> {
  const response = await controller.ask('POST', '/v1/plans', proposal);
  const plan = check(views.plan, response.body);
  if (response.status !== 201 || !plan.ok) return failedReturn(response);
  return { code: exitCode.done, text: show.plan(plan.value), json: response.body };
}

function confirmReturn(response: ControllerReturn): CommandReturn {
  const read = check(views.outcome, response.body);
  if (!read.ok) return failedReturn(response);
  const { outcome, version, error } = read.value;
  const inForce = response.status === 200 ? ', in force at every front' : '';
  const line = `${outcome}, version ${version}${inForce}`;
  return {
    code: confirmExitCodes[response.status] ?? exitCode.failed,
    text: error === undefined ? line : `${error}\n${line}`,
    json: response.body,
  };
}
