import { join } from 'node:path';
import { Agent, agentCalls, updateKeys } from '@pewterlanding/agent';
import { Controller, OperatorApi } from '@pewterlanding/controller';
import { Membership } from '@pewterlanding/membership';
import type { Update } from '@pewterlanding/membership';
import { addressParts } from '@pewterlanding/model';
import { Counters, every, NodeDisk, quietLog, SystemClock, TcpTransport } from '@pewterlanding/runtime';
import type { Address } from '@pewterlanding/model';
import { BatchStore } from '@pewterlanding/store';
import type { HollowOptions } from './hollowOptions.js';
import type { HollowPlace } from './hollowPlace.js';
import { PartedTransport } from './partedTransport.js';

interface HollowNodeOptions {
  readonly place: HollowPlace;
  readonly options: HollowOptions;
  readonly seeds: readonly Address[];
  readonly passes: (to: Address) => boolean;
  readonly sent: (call: string) => void;
  readonly heard: (update: Update) => void;
}

/** One node with all its control logic and nobody to serve: the shipped classes over real sockets. */
export class HollowNode {
  readonly place: HollowPlace;
  readonly membership: Membership;
  readonly counters = new Counters();
  readonly operatorApi: OperatorApi | undefined;
  readonly #options: HollowNodeOptions;
  readonly #wires: TcpTransport[] = [];
  readonly #closes: (() => void)[] = [];
  readonly #ready: Promise<unknown>;
  #heartbeats = 0;

  constructor(options: HollowNodeOptions) {
    this.#options = options;
    const { place, seeds } = options;
    const { heartbeatMs, failureTimeoutMs, folder } = options.options;
    this.place = place;
    const clock = new SystemClock();
    const transport = this.#transport(place.address);
    const { counters } = this;
    const log = quietLog;
    this.membership = new Membership({
      nodeRecord: { name: place.name, role: place.role, zone: place.zone, address: place.address },
      seeds,
      clock,
      transport,
      bounds: { heartbeatMs, failureTimeoutMs, watchers: 3 },
      counters,
      log,
    });
    this.membership.onUpdate((update) => options.heard(update));
    const { membership } = this;
    const bounds = { failureTimeoutMs, compactBytes: 16 << 20 };
    const disk = new NodeDisk(join(folder, place.name));
    const shared = { membership, clock, transport, disk, bounds, counters, log, fatal: (error: unknown) => console.error(error) };
    if (place.role === 'agent') {
      this.#stand(heartbeatMs);
      const agent = new Agent({ membership, clock, transport, proxy: place.proxy, heartbeatMs, counters, log });
      this.#closes.push(() => agent.close());
    } else if (place.role === 'store') {
      const store = new BatchStore(shared);
      this.#closes.push(() => store.close());
    } else {
      const controller = new Controller({ ...shared, heartbeatMs, seeds });
      this.operatorApi = new OperatorApi({ finder: controller.finder, clock, waitMs: failureTimeoutMs * 15 });
      this.#closes.push(() => controller.close());
      void controller.start().catch((error: unknown) => console.error(error));
    }
    this.#ready = Promise.all(this.#wires.map((one) => one.listen()));
  }

  ready(): Promise<unknown> {
    return this.#ready;
  }

  /** Ends at once; others see their circuits reset. */
  kill(): void {
    for (const close of this.#closes) close();
    this.membership.close();
    for (const transport of this.#wires) transport.close();
  }

  #transport(here: Address): PartedTransport {
    const clock = new SystemClock();
    const transport = new TcpTransport({ here, listen: here, fleet: 'hollow', clock, counters: this.counters });
    this.#wires.push(transport);
    return new PartedTransport({ transport, clock, passes: this.#options.passes, sent: this.#options.sent });
  }

  /** The proxy as its agent sees it: takes what it is fed, has some use, and passes on its replicas' announcements. */
  #stand(heartbeatMs: number): void {
    const { place, options } = this.#options;
    const clock = new SystemClock();
    const transport = this.#transport(place.proxy);
    const instance = `${place.name} ${Math.floor(clock.wallMs())}`;
    let version = 0;
    transport.serve(agentCalls.feed, async ({ updates }) => {
      for (const one of updates) if (one.key === updateKeys.configuration) version = one.version[0];
      const clockReading = { instance, atMs: clock.nowMs() };
      return { instance, version, checksum: this.membership.stateTable.checksum, clockReading, use: this.#use() };
    });
    const { host } = addressParts(place.address);
    const incarnation = Math.floor(clock.wallMs());
    let turn = 0;
    const announce = (): void => {
      const updates = Array.from({ length: options.replicas }, (_, at): Update => {
        const address = `${host}:${9000 + at}`;
        const value = { service: 'm', address, zone: place.zone, slots: 16, incarnation, state: 'serving' };
        return { key: updateKeys.replica('m', address), version: [incarnation, turn], volatile: false, value };
      });
      turn += 1;
      // One word each, as they would come.
      for (const one of updates) transport.tell(place.address, agentCalls.tell, { updates: [one] });
    };
    if (options.replicas === 0) return;
    this.#closes.push(clock.after(heartbeatMs, announce));
    if (options.announceMs > 0) this.#closes.push(every(clock, options.announceMs, announce));
  }

  #use(): Record<string, number> {
    const { running, size } = this.#options.options;
    this.#heartbeats += 1;
    const at = (step: number): string => `127.0.${(this.#heartbeats * 7 + step) % 250}.${(step * 31) % size}:9000`;
    return Object.fromEntries(Array.from({ length: running }, (_, step) => [at(step), 1 + (this.#heartbeats % 3)]));
  }
}
