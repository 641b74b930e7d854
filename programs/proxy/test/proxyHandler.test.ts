import { describe, it } from 'node:test';
import { setImmediate } from 'node:timers/promises';
import { expect } from 'earl';
import { TestFront } from './testFront.js';

const idOf = (head: string): string => /task-id: (\S+)/i.exec(head)?.[1] ?? '';
const instanceOf = (head: string): string => /expect-life: (\S+)/i.exec(head)?.[1] ?? '';
const answer = (head: string, status: string, headers: string, body: string, id = idOf(head)): string =>
  `HTTP/1.1 ${status}\r\ntask-id: ${id}\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`;
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const streamHead = (head: string): string =>
  `HTTP/1.1 200 OK\r\ntask-id: ${idOf(head)}\r\nseal: first\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`;
const event = (id: number): string => `id: ${id}\ndata: e${id}\n\n`;
const bodyOf = (response: string): string => response.slice(response.indexOf('\r\n\r\n') + 4);
const statusOf = (response: string): string => response.slice(9, 12);

describe('opaque requests', () => {
  it('are sent unchanged to a named instance, and its response comes back unchanged', async () => {
    const front = await TestFront.open((socket, head) => socket.write(answer(head, '200 Fine', 'seal: x\r\nX-Own: 1\r\n', 'body')));
    const response = await front.send('/w/q?a=%zz', 't1', 'X-Mine: 2\r\n');
    const [head = ''] = front.standIns[0]?.heads ?? [];
    expect(head.startsWith('POST /w/q?a=%zz HTTP/1.1\r\n')).toEqual(true);
    for (const line of ['host: A.example:80', 'X-Mine: 2', 'expect-life: life-0', 'urgency: 5', 'content-length: 2'])
      expect(head.includes(line)).toEqual(true);
    expect(response.startsWith('HTTP/1.1 200 Fine\r\n') && response.includes('seal: x\r\nX-Own: 1\r\n')).toEqual(true);
    expect(bodyOf(response)).toEqual('body');
    expect(statusOf(await front.send('/none/', 't2'))).toEqual('404');
    await front.close();
  });

  it('never get the response to another request, whose connection is destroyed', async () => {
    const front = await TestFront.open((socket, head) => socket.write(answer(head, '200 OK', 'seal: x\r\n', 'other', 'another')));
    const response = await front.send('/w/', 't1');
    expect(statusOf(response)).toEqual('502');
    expect(response.includes('other')).toEqual(false);
    await front.standIns[0]?.closed;
    await front.close();
  });

  it('without an id are refused and reach no replica, as their response could not be told from another', async () => {
    const front = await TestFront.open((socket, head) => socket.write(answer(head, '200 OK', 'seal: x\r\n', 'body')));
    for (const header of ['', 'task-id: \r\n']) {
      const head = `POST /w/ HTTP/1.1\r\nHost: a.example\r\nexpiry-ms: 5000\r\nconnection: close\r\n${header}content-length: 2\r\n\r\nhi`;
      expect(statusOf(await front.raw(head))).toEqual('400');
    }
    expect(front.standIns[0]?.heads).toEqual([]);
    await front.close();
  });

  it('count a success only with its seal', async () => {
    const front = await TestFront.open((socket, head) => socket.write(answer(head, '200 OK', '', 'unsealed')));
    expect(statusOf(await front.send('/w/', 't1'))).toEqual('502');
    await front.close();
  });

  it('are refused with a retry-after time when no replica ran them, after no more attempts than allowed', async () => {
    const full = (socket: { write(text: string): boolean }, head: string): boolean =>
      socket.write(answer(head, '503 Full', 'not-run: 1\r\n', ''));
    const front = await TestFront.open(full, full, full);
    const response = await front.send('/w/', 't1');
    expect(statusOf(response)).toEqual('503');
    expect(/retry-after: 0\.\d+/.test(response)).toEqual(true);
    expect(front.standIns.reduce((sum, { heads }) => sum + heads.length, 0)).toEqual(2);
    await front.close();
  });

  it('are not refused when a replica refuses without stating that it did not run them', async () => {
    for (const status of ['503 Odd', '429 Odd', '421 Odd', '408 Odd']) {
      const wordless = (socket: { write(text: string): boolean }, head: string): boolean => socket.write(answer(head, status, '', ''));
      const front = await TestFront.open(wordless, wordless);
      expect(statusOf(await front.send('/w/', 't1'))).toEqual('502');
      expect(front.standIns.reduce((sum, { heads }) => sum + heads.length, 0)).toEqual(1);
      await front.close();
    }
  });

  it('that may not be repeated are never sent twice after a reset; others are', async () => {
    let resets = 0;
    const reset = (socket: { resetAndDestroy(): unknown; write(text: string): boolean }, head: string): void => {
      resets += 1;
      // The first connection of each request is reset.
      if (resets !== 2) socket.resetAndDestroy();
      if (resets === 2) socket.write(answer(head, '200 OK', 'seal: x\r\n', 'again'));
    };
    const front = await TestFront.open(reset, reset);
    expect(bodyOf(await front.send('/r/', 't1'))).toEqual('again');
    expect(resets).toEqual(2);
    expect(statusOf(await front.send('/w/', 't2'))).toEqual('502');
    expect(resets).toEqual(3);
    await front.close();
  });

  it('are sent to another replica after a failed connect, which sent nothing', async () => {
    const front = await TestFront.open((socket, head) => socket.write(answer(head, '200 OK', 'seal: x\r\n', 'ok')));
    const value = { service: 's', address: '127.0.0.1:1', slots: 4, incarnation: 1, instance: 'gone', state: 'serving' };
    front.routingState.apply([{ key: 'replica/s/gone', version: [1, 0], volatile: false, value }]);
    for (const id of ['t1', 't2', 't3']) expect(statusOf(await front.send('/w/', id))).toEqual('200');
    await front.close();
  });
});

describe('a proxy that has just started', () => {
  const ok: Parameters<typeof TestFront.starting>[1] = (socket, head) => socket.write(answer(head, '200 OK', 'seal: x\r\n', 'ok'));

  it('holds requests until it knows where to send them', async () => {
    const front = await TestFront.starting(60_000, ok);
    const response = front.send('/w/', 't1');
    while (front.held === 0) await setImmediate();
    front.learn();
    expect(statusOf(await response)).toEqual('200');
    expect(front.held).toEqual(0);
    await front.close();
  });

  it('refuses at once when its start is over, and requests without a deadline', async () => {
    const late = await TestFront.starting(0, ok);
    expect(statusOf(await late.send('/w/', 't1'))).toEqual('503');
    await late.close();
    const front = await TestFront.starting(60_000, ok);
    const head = 'POST /w/ HTTP/1.1\r\nHost: a.example\r\ntask-id: t2\r\nconnection: close\r\ncontent-length: 0\r\n\r\n';
    expect(statusOf(await front.raw(head))).toEqual('503');
    await front.close();
  });
});

describe('streams', () => {
  it('are resumed at another replica after their last event, within one response with the first head', async () => {
    const instances: string[] = [];
    const front = await TestFront.open(
      ...[0, 1].map(
        () => (socket: { write(text: string): boolean; resetAndDestroy(): unknown; end(text: string): unknown }, head: string) => {
          instances.push(instanceOf(head));
          const after = /last-event-id: (\d+)/i.exec(head)?.[1];
          if (after === undefined) {
            // Half an event, then the end: only complete ones may be passed on.
            socket.end(streamHead(head) + chunk(event(1) + event(2)) + chunk('id: 3\ndata: ha'));
            return;
          }
          const next = Number(after) + 1;
          socket.write(streamHead(head).replace('first', 'second') + chunk(event(next)) + chunk(event(next + 1)) + '0\r\n\r\n');
        },
      ),
    );
    const response = await front.send('/c/', 't1');
    expect(response.includes('seal: first') && !response.includes('second')).toEqual(true);
    expect([...response.matchAll(/data: (\w+)/g)].map(([, data]) => data)).toEqual(['e1', 'e2', 'e3', 'e4']);
    expect(response.endsWith('0\r\n\r\n')).toEqual(true);
    expect(new Set(instances).size).toEqual(2);
    await front.close();
  });

  it('are resumed past a replica that refuses to resume them, whose connection is kept', async () => {
    let resumed = 0;
    const act = (socket: { write(text: string): boolean; end(text: string): unknown }, head: string): void => {
      if (!/last-event-id/i.test(head)) return void socket.end(streamHead(head) + chunk(event(1)));
      resumed += 1;
      if (resumed === 1) return void socket.write(answer(head, '503 Full', 'not-run: 1\r\n', ''));
      socket.write(streamHead(head) + chunk(event(2)) + '0\r\n\r\n');
    };
    const front = await TestFront.open(act, act, act);
    const response = await front.send('/c/', 't1');
    expect([...response.matchAll(/data: (\w+)/g)].map(([, data]) => data)).toEqual(['e1', 'e2']);
    expect(response.endsWith('0\r\n\r\n')).toEqual(true);
    expect(front.connections.idle).toEqual(2);
    await front.close();
  });

  it('that cannot be resumed end with a connection closed early', async () => {
    const front = await TestFront.open((socket, head) => socket.end(streamHead(head) + chunk(event(1))));
    const response = await front.send('/s/', 't1');
    expect(response.includes('data: e1')).toEqual(true);
    expect(response.endsWith('0\r\n\r\n')).toEqual(false);
    await front.close();
  });

  it('are cut where an event is repeated, or missing after a resumption', async () => {
    const twice = await TestFront.open((socket, head) => socket.write(streamHead(head) + chunk(event(1) + event(1)) + '0\r\n\r\n'));
    const response = await twice.send('/s/', 't1');
    expect(response.endsWith('0\r\n\r\n')).toEqual(false);
    await twice.close();
    const gap = (socket: { end(text: string): unknown }, head: string): void => {
      const from = /last-event-id: \d+/i.test(head) ? 4 : 1;
      socket.end(streamHead(head) + chunk(event(from) + event(from + 1)) + (from === 1 ? '' : '0\r\n\r\n'));
    };
    const front = await TestFront.open(gap, gap, gap);
    const cut = await front.send('/c/', 't1');
    expect(cut.includes('data: e4')).toEqual(false);
    expect(cut.endsWith('0\r\n\r\n')).toEqual(false);
    await front.close();
  });
});
