import { after, before, describe, it } from 'node:test';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'earl';
import { auditHash } from '@pewterlanding/controller';
import { commands, exitCode, helpText, nearestName, renamedCommands, runPewterctl } from '../src/index.js';

interface Run {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

const plan = { id: 'plan_1', base: 1, differences: [], effects: [] };
const costs = { requests: 1, tokens: 2 };
const role = { holder: 'core-1', address: '127.0.0.1:1', term: 4 };
/** What a controller answers to each request that a command makes. */
const answers: Readonly<Record<string, readonly [number, unknown]>> = {
  'POST /v1/plans': [201, plan],
  'GET /v1/plans/plan_1': [200, plan],
  'POST /v1/plans/plan_1/confirm': [200, { outcome: 'confirmed', version: 2 }],
  'GET /v1/configuration': [200, { version: 1, configuration: { emptying: ['store-1'] } }],
  'GET /v1/configuration/history': [200, { history: [{ version: 1, plan: 'plan_1', atMs: 0, differences: [] }] }],
  'GET /v1/shards': [200, { shards: [{ shard: 'lots-0' }] }],
  'GET /v1/nodes': [200, { nodes: [] }],
  'GET /v1/roles': [200, { roles: { dispatch: role } }],
  'GET /v1/quotas': [
    200,
    {
      term: 4,
      quotas: [{ quota: 'north', share: 1, used: costs, lent: costs, borrowed: costs, waitingLimit: costs, held: costs }],
      waiting: { north: 3 },
    },
  ],
  'GET /v1/batches': [
    200,
    {
      batches: [{ id: 'b_0_1', quota: 'north', service: 'a', bodyHash: 'h', createdMs: 0, ended: true, items: 2, counts: { QUEUED: 2 } }],
    },
  ],
  'GET /v1/audit': [200, { version: 0, entries: [], keys: [] }],
};

describe('pewterctl', () => {
  const server = createServer((request, response) => {
    request.resume();
    const [status, body] = answers[`${request.method} ${request.url}`] ?? [404, { error: 'nothing here' }];
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  });
  let controllers = '';
  let folder = '';

  before(async () => {
    folder = await mkdtemp(join(tmpdir(), 'pewterctl-'));
    await writeFile(join(folder, 'change.json'), JSON.stringify({ quotas: {} }));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const address = server.address();
    if (typeof address !== 'object' || address === null) throw new Error('no port');
    controllers = `127.0.0.1:${address.port}`;
  });

  after(async () => {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
    await rm(folder, { recursive: true, force: true });
  });

  const run = async (input: readonly string[], flags: Record<string, unknown> = {}, at = controllers): Promise<Run> => {
    const out: string[] = [];
    const err: string[] = [];
    const code = await runPewterctl({
      input,
      flags: { json: false, part: false, acknowledge: false, waitMs: 5000, ...flags },
      controllers: at,
      out: (text) => out.push(text),
      err: (text) => err.push(text),
    });
    return { code, out: out.join('\n'), err: err.join('\n') };
  };

  /** Arguments for what the help shows after each command, and a piece of what it prints. */
  const cases: Readonly<Record<string, readonly [args: () => readonly string[], shown: string]>> = {
    plan: [() => [join(folder, 'change.json')], 'plan plan_1 on version 1'],
    confirm: [() => ['plan_1'], 'in force at every front'],
    showplan: [() => ['plan_1'], 'no differences'],
    empty: [() => ['store-2'], 'plan plan_1'],
    moves: [() => [], 'store-1: copies of 1 shards remain: lots-0'],
    audit: [() => [], 'up to version 0'],
    configuration: [() => [], 'version 1'],
    history: [() => [], 'plan_1'],
    nodes: [() => [], 'address'],
    shards: [() => [], 'lots-0'],
    roles: [() => [], 'core-1'],
    quotas: [() => [], 'north'],
    batches: [() => [], 'QUEUED:2 (ended)'],
  };

  /** The names in the help's list of commands. */
  const listed = (): readonly string[] => {
    const [, rest = ''] = helpText().split('  Commands\n');
    const [list = ''] = rest.split('\n\n');
    return list.split('\n').map((line) => line.trim().split(' ')[0] ?? '');
  };

  it('runs every command that its help lists, and lists every command', async () => {
    expect(listed()).toEqual(Object.keys(commands));
    for (const name of listed()) {
      const [args, shown] = cases[name] ?? [() => [], 'no case for this command'];
      const { code, out, err } = await run([name, ...args()]);
      expect([name, code, out.includes(shown), err]).toEqual([name, exitCode.done, true, '']);
    }
  });

  it('answers a missing argument with the usage that the help shows', async () => {
    for (const name of ['plan', 'confirm', 'showplan', 'empty']) {
      const { code, err } = await run([name]);
      expect([code, err]).toEqual([exitCode.usage, `usage: pewterctl ${name} ${commands[name]?.usage}`]);
    }
  });

  it('runs old names of commands, and names the present ones on stderr', async () => {
    for (const [old, present] of Object.entries(renamedCommands)) {
      const [, shown] = cases[present] ?? [() => [], ''];
      const { code, out, err } = await run([old]);
      expect([code, out.includes(shown), err.includes(`"${old}" is the old name of "${present}"`)]).toEqual([exitCode.done, true, true]);
      expect(listed().includes(old)).toEqual(false);
    }
  });

  it('names an unknown command or flag, and the nearest known one', async () => {
    const unknown = async (input: readonly string[], flags: Record<string, unknown> = {}): Promise<unknown[]> => {
      const { code, err } = await run(input, flags);
      return [code, err];
    };
    expect(await unknown(['batchs'])).toEqual([
      exitCode.usage,
      'pewterctl: no command batchs; did you mean batches?; see pewterctl --help',
    ]);
    expect(await unknown(['toString'])).toEqual([exitCode.usage, 'pewterctl: no command toString; see pewterctl --help']);
    expect(await unknown(['nodes'], { waitMS: 3 })).toEqual([
      exitCode.usage,
      'pewterctl: no flag --wait-m-s; did you mean --wait-ms?; see pewterctl --help',
    ]);
    expect(await unknown(['nodes'], { x: true })).toEqual([exitCode.usage, 'pewterctl: no flag -x; see pewterctl --help']);
    expect(await unknown([])).toEqual([exitCode.usage, 'pewterctl: a command is needed; see pewterctl --help']);
    expect(nearestName('qoutas', Object.keys(commands))).toEqual('quotas');
  });

  it('fails by exit code where no controller answers, and needs an address', async () => {
    expect((await run(['nodes'], {}, '')).code).toEqual(exitCode.usage);
    const nobody = await run(['nodes'], {}, '127.0.0.1:1');
    expect([nobody.code, nobody.err.includes('no controller machine answers')]).toEqual([exitCode.failed, true]);
    expect((await run(['showplan', 'plan_2'])).code).toEqual(exitCode.notFound);
  });

  it('prints the controller answer for scripts, whatever the outcome', async () => {
    const roles = await run(['roles'], { json: true });
    expect(JSON.parse(roles.out)).toEqual({ roles: { dispatch: role } });
    const absent = await run(['showplan', 'plan_2'], { json: true });
    expect([absent.code, JSON.parse(absent.out)]).toEqual([exitCode.notFound, { error: 'nothing here' }]);
    await writeFile(join(folder, 'keys.json'), JSON.stringify({ keys: [{ kid: auditHash('') }] }));
    const audit = await run(['audit', join(folder, 'keys.json')]);
    expect([audit.code, audit.err.includes('keys.0: is no public key')]).toEqual([exitCode.findings, true]);
  });
});
