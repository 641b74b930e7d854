import type { Agent } from '@pewterlanding/agent';
import type { Controller, OperatorApi } from '@pewterlanding/controller';
import type { Address } from '@pewterlanding/model';
import type { FrontProxy } from '@pewterlanding/proxy';
import type { Counters } from '@pewterlanding/runtime';
import type { BatchStore } from '@pewterlanding/store';
import type { Instance } from '../engine/index.js';

/** A running process of a simulated machine, with the parts that its role has. */
export interface SimProcess {
  instance: Instance;
  readonly counters: Counters;
  controller?: Controller;
  store?: BatchStore;
  proxy?: FrontProxy;
  agent?: Agent;
  operatorApi?: OperatorApi;
  /** The list that the running program holds; a reload changes it in place. */
  readonly seeds: Address[];
}
