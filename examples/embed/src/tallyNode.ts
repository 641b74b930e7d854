import { bootstrapGroup, ShardHost } from '@pewterlanding/consensus';
import type { Member } from '@pewterlanding/consensus';
import { Membership } from '@pewterlanding/membership';
import { Address, NodeName, ZoneName } from '@pewterlanding/model';
import { Counters, NodeDisk, quietLog, SystemClock, TcpTransport } from '@pewterlanding/runtime';
import { LocalAllowance, takeBoth } from '@pewterlanding/rate-limit';
import * as v from 'valibot';
import { Tally } from './tally.js';

const failureTimeoutMs = 300;
const shard = 'tally';
type Add = ReturnType<Tally['read']>;

/** One node of an embedding program: it knows the others, keeps a replicated tally, and limits its writers. */
export class TallyNode {
  readonly membership: Membership;
  readonly tally = new Tally();
  readonly #clock = new SystemClock();
  readonly #transport: TcpTransport;
  readonly #host: ShardHost;
  readonly #seeds: readonly Address[];
  readonly #allowance: LocalAllowance;
  #member: Member<Add, number> | undefined;

  constructor(name: string, listen: string, seeds: readonly string[], folder: string) {
    const clock = this.#clock;
    const counters = new Counters();
    const here = v.parse(Address, listen);
    this.#seeds = seeds.map((seed) => v.parse(Address, seed));
    this.#transport = new TcpTransport({ here, listen: here, fleet: 'embed', clock, counters });
    const nodeRecord = { name: v.parse(NodeName, name), role: 'store' as const, zone: v.parse(ZoneName, 'here'), address: here };
    this.membership = new Membership({
      nodeRecord,
      seeds: this.#seeds,
      clock,
      transport: this.#transport,
      bounds: { heartbeatMs: failureTimeoutMs / 4, failureTimeoutMs, watchers: 2 },
      counters,
      log: quietLog,
    });
    this.#host = new ShardHost({
      name: nodeRecord.name,
      address: here,
      clock,
      transport: this.#transport,
      disk: new NodeDisk(folder),
      bounds: { failureTimeoutMs, compactBytes: 1 << 20 },
      counters,
      log: quietLog,
      fatal: (error) => {
        throw error;
      },
    });
    // Ten writes at once and ten a second after that, of any size.
    this.#allowance = new LocalAllowance(
      { requests: 10, tokens: 1000 },
      { requests: 600, tokens: 60_000 },
      { requests: 10, tokens: 1000 },
      clock.nowMs(),
    );
  }

  async start(): Promise<void> {
    await this.#transport.listen();
    const options = {
      shard,
      host: this.#host,
      transport: this.#transport,
      clock: this.#clock,
      counters: new Counters(),
      seeds: this.#seeds,
      waitMs: failureTimeoutMs,
      known: await this.#host.known(shard),
    };
    this.#member = await this.#host.host<Add, number>(shard, await bootstrapGroup(options), this.tally);
  }

  get isLeader(): boolean {
    return this.#member?.isLeader ?? false;
  }

  /** The new sum, or how long to wait. Only the leader writes. */
  async add(id: string, name: string, by: number): Promise<{ readonly sum: number } | { readonly retryAfterMs: number }> {
    const taken = takeBoth([this.#allowance], { requests: 1, tokens: 1 }, this.#clock.nowMs());
    if (!taken.ok) return { retryAfterMs: taken.retryAfterMs };
    if (this.#member === undefined) throw new Error('not started');
    return { sum: await this.#member.propose(id, { name, by }) };
  }

  /** What surely is the newest sum. */
  async sum(name: string): Promise<number> {
    await this.#member?.confirmLeadership();
    return this.tally.get(name);
  }

  close(): void {
    this.membership.close();
    this.#host.close();
    this.#transport.close();
  }
}
