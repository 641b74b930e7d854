import { describe, it } from 'node:test';
import { setImmediate } from 'node:timers/promises';
import { expect } from 'earl';
import { TestFront } from './testFront.js';

const answered = (socket: { write(text: string): boolean }, head: string): boolean =>
  socket.write(`HTTP/1.1 200 OK\r\ntask-id: ${/task-id: (\S+)/i.exec(head)?.[1]}\r\nseal: x\r\ncontent-length: 2\r\n\r\nok`);
const statusOf = (response: string): string => response.slice(9, 12);

describe('the server of opaque tasks', () => {
  it('limits headers and bodies, and survives anything that a caller sends', async () => {
    const front = await TestFront.open(answered);
    const task = 'POST /w/ HTTP/1.1\r\nhost: a.example\r\ntask-id: t\r\nconnection: close\r\n';
    expect(statusOf(await front.raw(`${task}x: ${'y'.repeat(20_000)}\r\n\r\n`))).toEqual('431');
    expect(statusOf(await front.raw(`${task}content-length: 5000000\r\n\r\n`))).toEqual('413');
    expect(statusOf(await front.raw('\u0000\u0001 nothing\r\n\r\n'))).toEqual('400');
    expect(statusOf(await front.raw(`${task}content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`))).toEqual('400');
    expect(statusOf(await front.raw(`${task}transfer-encoding: chunked\r\n\r\nzz\r\n`))).toEqual('400');
    expect(front.standIns[0]?.heads).toEqual([]);
    expect(statusOf(await front.raw(`${task}transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n`))).toEqual('200');
    expect((front.standIns[0]?.heads ?? [])[0]?.includes('content-length: 2')).toEqual(true);
    await front.close();
  });

  it('reuses one connection to a replica for consecutive tasks, and aborts a task whose client leaves', async () => {
    const front = await TestFront.open((socket, head, nth) => {
      if (nth < 4) answered(socket, head);
      else front.leave();
    });
    for (const id of ['1', '2', '3']) expect(statusOf(await front.send('/w/', id))).toEqual('200');
    expect(front.connections.opened).toEqual(1);
    await front.send('/w/', '4');
    await front.standIns[0]?.closed;
    await front.close();
  });

  const pipelined = (path: string, id: string, more = ''): string =>
    `POST ${path} HTTP/1.1\r\nhost: a.example\r\ntask-id: ${id}\r\nexpiry-ms: 5000\r\n${more}content-length: 2\r\n\r\nhi`;

  it('begins a pipelined request only after the response to the one before it is complete', async () => {
    const release: (() => void)[] = [];
    const front = await TestFront.open((socket, head) => release.push(() => answered(socket, head)));
    const response = front.raw(pipelined('/w/', '1') + pipelined('/w/', '2', 'connection: close\r\n'));
    const heads = front.standIns[0]?.heads ?? [];
    for (const nth of [1, 2]) {
      while (heads.length < nth) await setImmediate();
      for (let turn = 0; turn < 50; turn += 1) await setImmediate();
      expect(heads.length).toEqual(nth);
      release[nth - 1]?.();
    }
    expect([...(await response).matchAll(/task-id: (\d)/g)].map(([, id]) => id)).toEqual(['1', '2']);
    await front.close();
  });

  it('drops a pipelined request behind a response that closes the connection: its downstream takes it for unread', async () => {
    const cut = 'HTTP/1.1 200 OK\r\nseal: x\r\ntransfer-encoding: chunked\r\n';
    const front = await TestFront.open((socket, head) =>
      socket.end(`${cut}task-id: ${/task-id: (\S+)/i.exec(head)?.[1]}\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n`),
    );
    const broken = await front.raw(pipelined('/s/', '1') + pipelined('/w/', '2'));
    expect(broken.includes('task-id: 2') || broken.endsWith('0\r\n\r\n')).toEqual(false);
    expect((front.standIns[0]?.heads ?? []).length).toEqual(1);
    await front.close();
  });

  it('never sends an error for the bytes behind a complete request as the response to it', async () => {
    const front = await TestFront.open(answered);
    const response = await front.raw(`${pipelined('/w/', '1')}\u0000\u0001 nothing\r\n\r\n`);
    expect(response).toEqual('');
    await front.close();
  });
});
