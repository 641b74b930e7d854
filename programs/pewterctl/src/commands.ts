import { readFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';
import * as v from 'valibot';
import { AuditTrail, verifyAudit } from '@pewterlanding/controller';
import { check } from '@pewterlanding/model';
import { exitCode } from './exitCode.js';
import type { ControllerClient } from './controllerClient.js';
import { show } from './show.js';
import { views } from './views.js';

interface Told {
  readonly code: number;
  readonly text: string;
  readonly json: unknown;
}

interface Given {
  readonly controller: ControllerClient;
  readonly words: readonly string[];
  readonly part: boolean;
  readonly acknowledge: boolean;
}

type Command = (granted: Given) => Promise<Told>;

const Fields = v.record(v.string(), v.unknown());

/** Every command of will, by its word. */
export const commands: Readonly<Record<string, Command>> = {
  plan: async ({ controller, words, part }) => {
    const [file] = words;
    if (file === undefined) return usage('plan FILE');
    const read = check(Fields, JSON.parse(await (file === '-' ? text(process.stdin) : readFile(file, 'utf8'))));
    if (!read.ok) return usage('FILE must hold a JSON object');
    return propose(controller, part ? { part: read.value } : { whole: read.value });
  },
  empty: async ({ controller, words }) => {
    const [store] = words;
    if (store === undefined) return usage('empty STORE');
    const now = await emptying(controller);
    return propose(controller, { part: { emptying: [...new Set([...now, store])] } });
  },
  confirm: async ({ controller, words, acknowledge }) => {
    const [plan] = words;
    if (plan === undefined) return usage('confirm PLAN');
    const response = await controller.ask('POST', `/v1/plans/${encodeURIComponent(plan)}/confirm`, { acknowledged: acknowledge });
    const outcome = check(views.outcome, response.body);
    if (!outcome.ok) return failed(response);
    const codes: Readonly<Record<number, number>> = {
      200: exitCode.done,
      409: exitCode.conflict,
      428: exitCode.needsAcknowledgement,
      504: exitCode.notInForce,
    };
    const line = `${outcome.value.outcome}, version ${outcome.value.version}${response.status === 200 ? ', in force at every front' : ''}`;
    return {
      code: codes[response.status] ?? exitCode.failed,
      text: outcome.value.error === undefined ? line : `${outcome.value.error}\n${line}`,
      json: response.body,
    };
  },
  setup: async ({ controller }) =>
    read(
      controller,
      '/v1/setup',
      views.setup,
      ({ version, setup: configuration }) => `version ${version}\n${JSON.stringify(configuration, null, 2)}`,
    ),
  history: async ({ controller }) => read(controller, '/v1/setup/history', views.history, show.history),
  showplan: async ({ controller, words }) =>
    words[0] === undefined ? usage('showplan PLAN') : read(controller, `/v1/plans/${encodeURIComponent(words[0])}`, views.plan, show.plan),
  nodes: async ({ controller }) => read(controller, '/v1/nodes', views.nodes, show.nodes),
  shards: async ({ controller }) => read(controller, '/v1/shards', views.shards, show.shards),
  duties: async ({ controller }) => read(controller, '/v1/duties', views.duties, show.duties),
  branches: async ({ controller }) => read(controller, '/v1/branches', views.branches, show.branches),
  lots: async ({ controller }) => read(controller, '/v1/lots', views.lots, show.lots),
  /** Checks the trail of confirmed setups; with a file of keys kept elsewhere, by those alone. */
  audit: async ({ controller, words }) => {
    const response = await controller.ask('GET', '/v1/audit');
    const trail = check(AuditTrail, response.body);
    if (response.status !== 200 || !trail.ok) return failed(response);
    const kept =
      words[0] === undefined ? undefined : check(v.object({ keys: AuditTrail.entries.keys }), JSON.parse(await readFile(words[0], 'utf8')));
    if (kept !== undefined && !kept.ok) return usage('audit [KEYS-FILE], a JSON object with "keys"');
    const findings = await verifyAudit(trail.value, kept?.value.keys);
    const text =
      findings.length === 0
        ? `${trail.value.entries.length} entries, each signed and in its place, up to version ${trail.value.version}`
        : findings.map((finding) => `${finding.place}: ${finding.message}`).join('\n');
    return { code: findings.length === 0 ? exitCode.done : exitCode.findings, text, json: { findings, ...trail.value } };
  },
  /** How far the emptying of stores has come: the shards that still have copies there. */
  moves: async ({ controller }) => {
    const leaving = await emptying(controller);
    return read(controller, '/v1/shards', views.shards, ({ shards }) => {
      const left = (store: string): string[] =>
        shards
          .filter(({ view }) => view === undefined || view.group.some((member) => member.identity.name === store))
          .map(({ shard }) => shard);
      const rows = leaving.map((store) => {
        const kept = left(store).filter((part) => part.startsWith('lots-'));
        return kept.length === 0
          ? `${store}: nothing is left there; it may be taken out`
          : `${store}: ${kept.length} parts left: ${kept.join(' ')}`;
      });
      return rows.length === 0 ? 'no store is being emptied' : rows.join('\n');
    });
  },
};

function usage(text: string): Told {
  return { code: exitCode.usage, text: `usage: will ${text}`, json: { error: `usage: will ${text}` } };
}

function failed(response: { readonly status: number; readonly body: unknown }): Told {
  const read = check(views.error, response.body);
  const codes: Readonly<Record<number, number>> = {
    400: exitCode.findings,
    422: exitCode.findings,
    404: exitCode.notFound,
    409: exitCode.conflict,
  };
  const lines = read.ok
    ? [read.value.error, ...read.value.findings.map((finding) => `${finding.place === '' ? '(whole)' : finding.place}: ${finding.message}`)]
    : [`status ${response.status}`];
  return { code: codes[response.status] ?? exitCode.failed, text: lines.join('\n'), json: response.body };
}

async function propose(controller: ControllerClient, proposal: unknown): Promise<Told> {
  const response = await controller.ask('POST', '/v1/plans', proposal);
  const plan = check(views.plan, response.body);
  return response.status === 201 && plan.ok ? { code: exitCode.done, text: show.plan(plan.value), json: response.body } : failed(response);
}

async function read<T>(
  controller: ControllerClient,
  path: string,
  schema: v.GenericSchema<unknown, T>,
  face: (view: T) => string,
): Promise<Told> {
  const response = await controller.ask('GET', path);
  if (response.status !== 200) return failed(response);
  const view = check(schema, response.body);
  if (!view.ok)
    return {
      code: exitCode.failed,
      text: view.findings.map((finding) => `${finding.place}: ${finding.message}`).join('\n'),
      json: response.body,
    };
  return { code: exitCode.done, text: face(view.value), json: response.body };
}

async function emptying(controller: ControllerClient): Promise<readonly string[]> {
  const response = check(views.setup, (await controller.ask('GET', '/v1/setup')).body);
  const list = response.ok ? check(v.array(v.string()), response.value.setup?.['emptying'] ?? []) : response;
  return list.ok ? list.value : [];
}
