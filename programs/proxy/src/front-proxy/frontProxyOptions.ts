import type { Address, NodeName } from '@pewterlanding/model';
import type { Clock, Counters, Log, StartupTimeline, Transport } from '@pewterlanding/runtime';
import type { ItemTransport } from '../batch-runner/index.js';
import type { HeaderNames } from '../headers/headerNames.js';
import type { ReplicaTransport } from '../connections/replicaTransport.js';

/** What a proxy is built from. */
export interface FrontProxyOptions {
  /** The front machine's name, shared with the agent. */
  readonly front: NodeName;
  /** Unique to this start of the process. */
  readonly instance: string;
  readonly zone: string;
  readonly agent: Address;
  /** Controllers that are asked for updates until the agent's first update; without any, the proxy waits for the agent. */
  readonly seeds?: readonly Address[];
  readonly clock: Clock;
  readonly transport: Transport;
  readonly replicas: ReplicaTransport;
  /** Sends opaque items; by default over this proxy's connection pool. */
  readonly items?: ItemTransport | undefined;
  /** Names of the headers on opaque tasks; by default the product's own. */
  readonly headerNames?: HeaderNames;
  readonly random: () => number;
  readonly heartbeatMs: number;
  readonly failureTimeoutMs: number;
  readonly counters: Counters;
  readonly log: Log;
  /** Records the stages of the start; by default a new one. */
  readonly timeline?: StartupTimeline;
}
