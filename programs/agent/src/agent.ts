import * as v from 'valibot';
import type { Address } from '@pewterlanding/model';
import type { Clock, Counters, Log, Transport } from '@pewterlanding/runtime';
import { every, TransportError } from '@pewterlanding/runtime';
import { UpdateReader } from '@pewterlanding/membership';
import type { NodeRecord, Membership, Update } from '@pewterlanding/membership';
import { agentCalls } from './calls/agentCalls.js';
import type { QuotaRequest } from './calls/quotaRequest.js';
import { SingletonRole } from './sharedState/singletonRole.js';
import { agentToControllerCalls } from './calls/agentToControllerCalls.js';
import { updateKeys } from './sharedState/updateKeys.js';
import { ClockReading } from './sharedState/clockReading.js';
import type { Settlement } from './calls/settlement.js';

interface AgentOptions {
  readonly membership: Membership;
  readonly clock: Clock;
  readonly transport: Transport;
  /** The proxy beside it. */
  readonly proxy: Address;
  readonly heartbeatMs: number;
  readonly counters: Counters;
  readonly log: Log;
}

/** All fronts together tell their use about so often in a beat: what a node hears of it must not grow with the number of fronts. */
const usesPerHeartbeat = 32;
/** A front's use that has not changed is told again after so many of its turns. */
const tellAnewTurns = 8;
/** What a front holds, where it has not changed, is told again after so many beats. */
const tellAnewHeartbeats = 8;
/** So much of a beat lies between two feeds of other fronts' use. */
const soonRatio = 1 / 4;
/** Without a stamp from the tree for so many beats, the controller is asked directly. */
const patienceHeartbeats = 4;

type Held = v.InferOutput<typeof agentCalls.feed.response>;
const joiningConfiguration = v.object({ configuration: v.object({ joining: v.optional(v.boolean(), false) }) });

/** The agent beside a proxy: feeds it the news, and carries its words to the controller. */
export class Agent {
  readonly #options: AgentOptions;
  readonly #stop: () => void;
  #pending: Update[] = [];
  #feeding = false;
  #fedMs = Number.NEGATIVE_INFINITY;
  readonly #startedMs: number;
  #turn = 0;
  #untoldHeartbeats = 0;
  #toldVersion = -1;
  #toldHeld = '';
  #heldHeartbeats = 0;
  #unfreshHeartbeats = 0;
  readonly #configuration = UpdateReader.of(joiningConfiguration);
  #asking = false;
  #cancelSoon: (() => void) | undefined;
  #proxyHeard = false;
  #left = false;
  #instance = '';
  #whole = true;

  constructor(options: AgentOptions) {
    this.#options = options;
    const { membership, transport, clock } = options;
    this.#startedMs = Math.floor(clock.wallMs());
    const ownUse = updateKeys.use(membership.name);
    membership.onUpdate((update, sent) => {
      // What the proxy said itself it need not be told.
      if (update.key === ownUse) return;
      this.#pending.push(sent);
      // Other fronts' use changes all the time, the more the more fronts there are: it waits for company.
      if (update.key.startsWith(updateKeys.uses)) this.#feedSoon();
      // Let all that came in one message go on in one.
      else void Promise.resolve().then(() => this.#feed(false));
    });
    transport.serve(agentCalls.tell, async ({ updates }) => {
      for (const one of updates) membership.put(one);
      return {};
    });
    transport.serve(agentCalls.requestQuota, (quotaRequest) => this.#draw(quotaRequest));
    transport.serve(agentCalls.settle, async ({ settled }) => {
      this.#settle(settled);
      return {};
    });
    transport.serve(agentCalls.lease, async (body) => {
      const singletonRole = this.singletonRole();
      // A dispatcher that was overtaken leases nothing any more.
      if (singletonRole !== undefined && body.term < singletonRole.term) {
        options.counters.add('agent.staleLease');
        return { taken: false, term: singletonRole.term };
      }
      return transport.ask(options.proxy, agentCalls.lease, body, options.heartbeatMs * 2);
    });
    transport.serve(agentCalls.leave, async () => {
      this.#left = true;
      membership.leave();
      return {};
    });
    this.#stop = every(clock, options.heartbeatMs, () => this.#feed(true));
  }

  /** True once the proxy said that it has finished. */
  get left(): boolean {
    return this.#left;
  }

  /** True while the proxy beside it returns. */
  get proxyHeard(): boolean {
    return this.#proxyHeard;
  }

  singletonRole(): SingletonRole | undefined {
    const read = v.safeParse(SingletonRole, this.#options.membership.stateTable.get(updateKeys.singletonRole('dispatch'))?.value);
    return read.success ? read.output : undefined;
  }

  close(): void {
    this.#stop();
    this.#cancelSoon?.();
    this.#options.membership.close();
  }

  /** At once after a calm, and else so long after the last feed. */
  #feedSoon(): void {
    const { clock, heartbeatMs } = this.#options;
    this.#cancelSoon ??= clock.after(Math.max(0, this.#fedMs + heartbeatMs * soonRatio - clock.nowMs()), () => {
      this.#cancelSoon = undefined;
      if (this.#pending.length > 0) void this.#feed(false);
    });
  }

  async #feed(heartbeat: boolean): Promise<void> {
    // One feed at a time: news that comes meanwhile goes with the next.
    if (this.#feeding) return;
    this.#feeding = true;
    let unsure: readonly Update[] = [];
    try {
      let told = !heartbeat;
      do {
        const whole = this.#whole;
        const updates = whole ? [...this.#options.membership.stateTable.withPrefix('')] : this.#pending;
        this.#pending = [];
        unsure = updates;
        const response = await this.#feedOnce(whole, updates);
        if (!told) this.#tell(response);
        // A version is in force when the controller knows that all fronts hold it: that must not wait for a beat.
        else if (response.version !== this.#toldVersion) this.#tellHeld(response);
        told = true;
      } while (this.#pending.length > 0);
    } catch {
      this.#options.counters.add('agent.feedFailed');
      if (this.#proxyHeard) this.#options.log.warn('the proxy beside is silent');
      // A proxy that was only late is told again what was on its way; all of it costs both sides most when both have least time.
      this.#whole ||= !this.#proxyHeard;
      if (!this.#whole) this.#pending = [...unsure, ...this.#pending];
      this.#proxyHeard = false;
    } finally {
      this.#feeding = false;
    }
  }

  async #feedOnce(whole: boolean, updates: readonly Update[]): Promise<Held> {
    const { membership, transport, clock, proxy, heartbeatMs, counters } = this.#options;
    counters.add('agent.feeds');
    this.#fedMs = clock.nowMs();
    const response = await transport.ask(proxy, agentCalls.feed, { whole, updates: [...updates] }, heartbeatMs * 4);
    if (!this.#proxyHeard) this.#options.log.info('the proxy beside is heard');
    this.#proxyHeard = true;
    // A proxy that began a new life, or holds something else than what it was fed, gets everything again.
    this.#whole =
      response.instance !== this.#instance || (this.#pending.length === 0 && response.checksum !== membership.stateTable.checksum);
    this.#instance = response.instance;
    return response;
  }

  /** Once a beat: the proxy's use to all, its version to the controller. What was lost on the way is told anew before long. */
  #tell(response: Held): void {
    const { membership } = this.#options;
    const key = updateKeys.use(membership.name);
    this.#untoldHeartbeats += 1;
    const live = membership.live();
    const turnHeartbeats = Math.ceil(live.filter((nodeRecord) => nodeRecord.role === 'agent').length / usesPerHeartbeat);
    const changed = JSON.stringify(membership.stateTable.get(key)?.value) !== JSON.stringify(response.use);
    if (this.#untoldHeartbeats >= (changed ? 1 : tellAnewTurns) * turnHeartbeats) {
      this.#turn += 1;
      this.#untoldHeartbeats = 0;
      membership.put({ key, version: [this.#startedMs, this.#turn], volatile: true, value: response.use });
    }
    this.#heldHeartbeats += 1;
    // Under a joining setup nobody's freshness runs out, so controllers need only what changed: else each hears every front each beat.
    if (
      !this.#joining() ||
      `${response.version} ${response.clockReading.instance}` !== this.#toldHeld ||
      this.#heldHeartbeats >= tellAnewHeartbeats
    )
      this.#tellHeld(response);
    void this.#askFresh(response);
  }

  #tellHeld({ version, clockReading }: Held): void {
    const { membership, transport, counters } = this.#options;
    counters.add('agent.heldTold');
    this.#toldVersion = version;
    this.#toldHeld = `${version} ${clockReading.instance}`;
    this.#heldHeartbeats = 0;
    for (const { role, address } of membership.live())
      if (role === 'controller') transport.tell(address, agentToControllerCalls.held, { front: membership.name, version, clockReading });
  }

  #joining(): boolean {
    return this.#configuration.read(this.#options.membership.stateTable.get(updateKeys.configuration))?.configuration.joining === true;
  }

  /** Where the tree does not bring the setup leader's word, the front asks for it: freshness must not hang on one relay. */
  async #askFresh({ version, clockReading }: Held): Promise<void> {
    const { membership, transport, heartbeatMs, counters } = this.#options;
    const own = v.safeParse(ClockReading, membership.stateTable.get(updateKeys.fresh)?.byNode?.[membership.name]);
    const joining = this.#joining();
    const patience = joining ? patienceHeartbeats * tellAnewHeartbeats : patienceHeartbeats;
    const lately =
      own.success && own.output.instance === clockReading.instance && clockReading.atMs - own.output.atMs < heartbeatMs * patience;
    this.#unfreshHeartbeats = lately ? 0 : this.#unfreshHeartbeats + 1;
    if (lately || this.#asking || (joining && this.#unfreshHeartbeats < patience)) return;
    this.#unfreshHeartbeats = 0;
    this.#asking = true;
    counters.add('agent.askedFresh');
    const controllers = membership.live().filter((nodeRecord) => nodeRecord.role === 'controller');
    const word = { front: membership.name, version, clockReading };
    const ask = ({ address }: NodeRecord) =>
      transport.ask(address, agentToControllerCalls.fresh, word, heartbeatMs * patienceHeartbeats).catch(() => undefined);
    for (const response of await Promise.all(controllers.map(ask))) {
      if (response === undefined) continue;
      // For this proxy alone: on the board it would pass for the word that carries everybody's stamp.
      const byNode = { [membership.name]: response.clockReading };
      this.#pending.push({
        key: updateKeys.fresh,
        version: [response.term, response.count],
        volatile: true,
        value: { version: response.version },
        byNode,
      });
    }
    this.#asking = false;
    if (this.#pending.length > 0) await this.#feed(false);
  }

  async #draw(quotaRequest: Omit<QuotaRequest, 'front'>) {
    const singletonRole = this.singletonRole();
    if (singletonRole === undefined) throw new TransportError('silent', 'nobody holds the counter');
    const quotaGrant = await this.#options.transport.ask(
      singletonRole.address,
      agentToControllerCalls.requestQuota,
      { ...quotaRequest, front: this.#options.membership.name },
      this.#options.heartbeatMs * 2,
    );
    if (quotaGrant.term < (this.singletonRole()?.term ?? 0)) throw new TransportError('refused', 'a counter of an older epoch');
    return quotaGrant;
  }

  #settle(settled: readonly Settlement[]): void {
    const singletonRole = this.singletonRole();
    if (singletonRole !== undefined)
      this.#options.transport.tell(singletonRole.address, agentToControllerCalls.settle, { settled: [...settled] });
  }
}
