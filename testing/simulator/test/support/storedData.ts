import { cp, mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import * as v from 'valibot';
import { updateKeys, Replica } from '@pewterlanding/agent';
import { ShardFile, ShardHost } from '@pewterlanding/consensus';
import type { StateMachine } from '@pewterlanding/consensus';
import {
  AuditArchive,
  AuditSigner,
  firstStart,
  nextEntry,
  ReplicaRegistry,
  ServiceShard,
  ConfigurationShard,
  verifyAudit,
} from '@pewterlanding/controller';
import type { AuditLine, ServiceCommand, ConfigurationCommand, ConfigurationReturn } from '@pewterlanding/controller';
import { Membership } from '@pewterlanding/membership';
import { Address, NodeName, PlanId, ServiceName, ZoneName } from '@pewterlanding/model';
import { Counters, Journal, NodeDisk, quietLog, SystemClock, TransportError } from '@pewterlanding/runtime';
import type { Clock, Transport } from '@pewterlanding/runtime';
import { storedBatches } from './storedBatches.js';
import type { StoredFormat } from './storedFormat.js';
import { storedWords } from './storedWords.js';

const fixtures = join(dirname(fileURLToPath(import.meta.url)), '../../../../fixtures/stored-data');
const failureTimeoutMs = 100;
const noBound = Number.MAX_SAFE_INTEGER;

const Words = v.record(v.string(), v.string());
const StoredShard = v.object({
  term: v.number(),
  members: v.array(v.string()),
  membersInSnapshot: v.array(v.string()),
  lastIndex: v.number(),
  snapshotIndex: v.number(),
  firstIndex: v.number(),
  groupRecords: v.number(),
  commands: v.number(),
  stateInSnapshot: v.record(v.string(), v.unknown()),
  returnsInSnapshot: Words,
  state: v.record(v.string(), v.unknown()),
  returns: Words,
});
const Manifest = v.object({
  setup: v.object({ ...StoredShard.entries, remembered: Words }),
  services: StoredShard,
  batches: StoredShard,
  added: v.pick(StoredShard, ['term', 'members', 'lastIndex', 'state', 'returns']),
  audit: v.object({ version: v.number(), plans: v.array(v.string()), key: v.string() }),
  replicas: v.array(v.unknown()),
});

interface OpenShard<C, M> {
  readonly machine: M;
  /** The term under which the member leads. */
  readonly term: () => number;
  readonly members: () => readonly string[];
  readonly state: () => Record<string, unknown>;
  readonly propose: (id: string, command: C) => Promise<string>;
}

interface LeadOptions {
  /** The length of the file from which it is rewritten. */
  readonly compactBytes?: number;
}

type ServiceReturn = ReturnType<ServiceShard['apply']>;

/** A copy of the files that an earlier build wrote, opened with the classes that ship. All use of the product's names is here. */
export class StoredData {
  static readonly configuration: StoredFormat<ConfigurationCommand, ConfigurationReturn, ConfigurationShard> = {
    of: 'controller',
    shard: 'setup',
    make: () => new ConfigurationShard(),
    state: storedWords.configurationState,
    returned: storedWords.configurationReturned,
    later: {
      'later-set': {
        kind: 'set',
        change: {
          basedOn: 42,
          revision: 100,
          hash: 'content of 100',
          change: { kind: 'items', routes: {}, services: {}, drop: { routes: ['a-daily'], services: [] } },
        },
        atMs: 1,
      },
    },
  };
  static readonly services: StoredFormat<ServiceCommand, ServiceReturn, ServiceShard> = {
    of: 'controller',
    shard: 'services-0',
    make: () => new ServiceShard(),
    state: storedWords.servicesState,
    returned: () => 'done',
    later: { 'later-learn': { kind: 'learn', service: v.parse(ServiceName, 'later'), outputTokens: 777 } },
  };
  static readonly batches = storedBatches('lots-0');
  static readonly addedBatches = storedBatches('lots-1');

  readonly manifest: v.InferOutput<typeof Manifest>;
  readonly #folder: string;
  readonly #disks: Readonly<Record<'controller' | 'store', NodeDisk>>;

  private constructor(folder: string, manifest: v.InferOutput<typeof Manifest>) {
    this.#folder = folder;
    this.#disks = { controller: new NodeDisk(join(folder, 'controller')), store: new NodeDisk(join(folder, 'store')) };
    this.manifest = manifest;
  }

  static async copy(): Promise<StoredData> {
    const folder = await mkdtemp(join(tmpdir(), 'stored-data-'));
    await cp(fixtures, folder, { recursive: true });
    return new StoredData(folder, v.parse(Manifest, JSON.parse(await readFile(join(folder, 'manifest.json'), 'utf8'))));
  }

  /** The batches of a state in the manifest's words. */
  static batchesIn(state: Readonly<Record<string, unknown>>): Record<string, unknown> {
    return v.parse(v.record(v.string(), v.unknown()), state['batches']);
  }

  async remove(): Promise<void> {
    // A disk closes a file's handle when the file goes.
    for (const disk of Object.values(this.#disks)) for (const file of await disk.list()) await disk.remove(file);
    await rm(this.#folder, { recursive: true, force: true });
  }

  /** What a shard's file holds before any member is opened on it. Every command of it is read, also those behind the snapshot. */
  async file<C, R, M extends StateMachine<C, R>>(format: StoredFormat<C, R, M>) {
    const blank = { index: 0, term: 0, group: [], stateMachine: undefined, deduplication: [] };
    const { log, currentTerm, damaged } = await new ShardFile(this.#journal(format)).open(blank);
    if (damaged) throw new Error(`${format.shard} is damaged`);
    const { snapshot, base, lastIndex } = log;
    const machine = format.make();
    let groupRecords = 0;
    let commands = 0;
    for (const { payload } of log.after(base.index, noBound)) {
      if (payload.kind === 'group') groupRecords += 1;
      if (payload.kind !== 'command') continue;
      machine.read(payload.command);
      commands += 1;
    }
    const returnsInSnapshot = snapshot.deduplication.map(([id, response]) => [id, format.returned(machine.readReturn(response))] as const);
    const hasSnapshot = snapshot.index > 0;
    if (hasSnapshot) machine.restore(snapshot.stateMachine);
    return {
      term: currentTerm,
      members: storedWords.groupWords(log.group()),
      membersInSnapshot: storedWords.groupWords(snapshot.group),
      lastIndex,
      snapshotIndex: snapshot.index,
      firstIndex: base.index + 1,
      groupRecords,
      commands,
      stateInSnapshot: hasSnapshot ? format.state(machine) : undefined,
      returnsInSnapshot: Object.fromEntries(returnsInSnapshot),
    };
  }

  /** The members that a shard's host finds in the file before it opens it. */
  async knownMembers<C, R, M extends StateMachine<C, R>>(format: StoredFormat<C, R, M>): Promise<readonly string[]> {
    return storedWords.groupWords(await this.#host(format, noBound).known(format.shard));
  }

  /** Opens a member on the file, waits until it leads, and ends it after `run`. */
  async lead<C, R, M extends StateMachine<C, R>, T>(
    format: StoredFormat<C, R, M>,
    run: (shard: OpenShard<C, M>) => Promise<T>,
    { compactBytes = noBound }: LeadOptions = {},
  ): Promise<T> {
    const host = this.#host(format, compactBytes);
    const machine = format.make();
    const member = await host.host(format.shard, [], machine);
    try {
      for (let turn = 0; !member.isLeader; turn += 1) {
        if (turn > 1000) throw new Error(`${format.shard} does not lead`);
        await wait(10);
      }
      return await run({
        machine,
        term: () => member.term,
        members: () => storedWords.groupWords(member.group()),
        state: () => format.state(machine),
        propose: async (id, command) => format.returned(await member.propose(id, command)),
      });
    } finally {
      host.close();
      await wait(50);
    }
  }

  /** A shard's file as it is. */
  async bytes<C, R, M extends StateMachine<C, R>>({ of, shard }: StoredFormat<C, R, M>): Promise<string> {
    return (await readFile(join(this.#folder, of, `${shard}.shard`))).toString('hex');
  }

  /** Appends a record to a shard's file, framed as any other. */
  async appendRecord<C, R, M extends StateMachine<C, R>>(format: StoredFormat<C, R, M>, record: unknown): Promise<void> {
    const journal = this.#journal(format);
    await journal.open();
    await journal.append(record);
  }

  /** The answer to a plan that was settled so long ago that its document is gone, and to a change that was taken. */
  async remembered({ propose }: OpenShard<ConfigurationCommand, ConfigurationShard>): Promise<Record<string, string>> {
    const set: ConfigurationCommand = {
      kind: 'set',
      change: {
        basedOn: 1,
        revision: 5,
        hash: 'content of 5',
        change: { kind: 'items', routes: {}, services: {}, drop: { routes: [], services: [] } },
      },
      atMs: 0,
    };
    const plan = v.parse(PlanId, 'old-0');
    return {
      'old-0': await propose('again-plan', { kind: 'confirm', plan, acknowledged: true, atMs: 0 }),
      change: await propose('again-change', set),
    };
  }

  /** The audit file as the archive reads it, checked against the keys and the length that the configuration shard holds. */
  async audit({ machine }: OpenShard<ConfigurationCommand, ConfigurationShard>) {
    const lines = await this.#archived(machine, []);
    const version = machine.auditHead.entries;
    const findings = await verifyAudit({ version, entries: lines.map(({ entry }) => entry), keys: [...machine.auditKeys] });
    return { version, plans: lines.map(({ confirmation }): string => confirmation.plan), findings };
  }

  /** Signs what has no signature yet, with the stored key, and keeps it in the audit file. */
  async sign({ machine, propose }: OpenShard<ConfigurationCommand, ConfigurationShard>): Promise<void> {
    const signer = await AuditSigner.open(this.#disks.controller, v.parse(NodeName, 'core-1'));
    for (let next = await nextEntry(signer, machine); next !== undefined; next = await nextEntry(signer, machine)) {
      await propose(`later-audit-${next.version}`, next);
      await this.#archived(machine, machine.auditHead.newest);
    }
  }

  /** The id of the key in the signer's file. */
  async auditKey(): Promise<unknown> {
    const signer = await AuditSigner.open(this.#disks.controller, v.parse(NodeName, 'core-1'));
    return signer.publicKey.kid;
  }

  /** Whether the disk is still one of the very first start, though the process is not told so. */
  async firstStart(): Promise<boolean> {
    return (await firstStart(this.#disks.controller, false)).bootstrap;
  }

  async endFirstStart(): Promise<void> {
    await (await firstStart(this.#disks.controller, false)).over();
  }

  /** The replicas that a controller recalls from its disk; each of `heard` says a word after it, under no life, and is kept. */
  async replicas(heard: readonly string[] = []): Promise<unknown[]> {
    const address = v.parse(Address, '127.0.20.1:7000');
    const context = { transport: transportOf(address), clock: backgroundClock, counters: new Counters() };
    const nodeRecord = { name: v.parse(NodeName, 'core-1'), role: 'controller', zone: v.parse(ZoneName, 'a'), address } as const;
    const bounds = { heartbeatMs: 250, failureTimeoutMs, watchers: 3 };
    const membership = new Membership({ ...context, log: quietLog, nodeRecord, seeds: [address], bounds });
    const watch = new ReplicaRegistry({
      ...context,
      membership,
      disk: this.#disks.controller,
      heartbeatMs: 20,
      silentRatio: 1e6,
      configuration: () => undefined,
    });
    await watch.open();
    const recalled = [...membership.stateTable.withPrefix(updateKeys.replicas)].map(({ value }) => v.parse(Replica, value));
    for (const at of heard) {
      const replica: Replica = {
        service: v.parse(ServiceName, 'ask'),
        address: v.parse(Address, at),
        slots: 2,
        incarnation: 3,
        state: 'serving',
      };
      watch.announce(replica);
    }
    if (heard.length > 0) await wait(300);
    watch.close();
    return recalled.map(({ address, state, instance = null, slots, incarnation, zone = null, models = [] }) => ({
      address,
      state,
      life: instance,
      slots,
      counter: incarnation,
      zone,
      models,
    }));
  }

  async #archived(machine: ConfigurationShard, lines: readonly AuditLine[]): Promise<readonly AuditLine[]> {
    const archive = new AuditArchive({
      disk: this.#disks.controller,
      transport: transportOf('127.0.20.1:7000'),
      clock: backgroundClock,
      counters: new Counters(),
      failureTimeoutMs,
      head: () => ({ ...machine.auditHead, newest: [...lines] }),
      peers: () => [],
    });
    const all = await archive.newest(machine.auditHead.entries);
    archive.close();
    return all;
  }

  #journal({ of, shard }: { readonly of: 'controller' | 'store'; readonly shard: string }): Journal {
    return new Journal(this.#disks[of], `${shard}.shard`);
  }

  #host({ of }: { readonly of: 'controller' | 'store' }, compactBytes: number): ShardHost {
    const here = of === 'controller' ? '127.0.20.1:7000' : '127.0.30.1:7000';
    return new ShardHost({
      name: v.parse(NodeName, of === 'controller' ? 'core-1' : 'store-1'),
      address: v.parse(Address, here),
      transport: transportOf(here),
      clock: backgroundClock,
      disk: this.#disks[of],
      bounds: { failureTimeoutMs, compactBytes },
      counters: new Counters(),
      log: quietLog,
      fatal: (error) => {
        throw error;
      },
    });
  }
}

const systemClock = new SystemClock();

/** Time that keeps no process alive. */
const backgroundClock: Clock = {
  nowMs: () => systemClock.nowMs(),
  wallMs: () => systemClock.wallMs(),
  after: (waitMs, run) => {
    const timer = setTimeout(run, Math.max(0, waitMs)).unref();
    return () => clearTimeout(timer);
  },
};

/** A wire on which nobody answers. */
function transportOf(here: string): Transport {
  return {
    here: v.parse(Address, here),
    ask: () => Promise.reject(new TransportError('unsent', 'nobody is there')),
    tell: () => undefined,
    serve: () => undefined,
  };
}
