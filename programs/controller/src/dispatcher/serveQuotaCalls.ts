import { agentToControllerCalls } from '@pewterlanding/agent';
import type { Transport } from '@pewterlanding/runtime';
import { TransportError } from '@pewterlanding/runtime';
import { controllerCalls } from '../controllerCalls.js';
import type { Dispatcher } from './dispatcher.js';

interface QuotaCallsOptions {
  readonly transport: Transport;
  /** The dispatcher, while this node holds its role. */
  readonly dispatcher: () => Dispatcher | undefined;
  /** The term under which this node holds the role. */
  readonly term: () => number | undefined;
}

/** Serves the calls of fronts and operators that only the holder of the dispatcher's role answers; elsewhere they are refused. */
export function serveQuotaCalls({ transport, dispatcher, term }: QuotaCallsOptions): void {
  const present = (): Dispatcher => {
    const held = dispatcher();
    if (held === undefined) throw new TransportError('refused', 'the counter is not here');
    return held;
  };
  transport.serve(agentToControllerCalls.requestQuota, async (request) => present().draw(request));
  // A settlement that reaches a node without the role is dropped: the holder reconciles with the shards' open leases.
  transport.serve(agentToControllerCalls.settle, async ({ settled }) => {
    dispatcher()?.settle(settled);
    return {};
  });
  transport.serve(controllerCalls.quotas, async () => {
    const held = present();
    return { term: term() ?? 0, quotas: [...held.view()], waiting: { ...held.waiting } };
  });
}
