// Command adapter hosts instances of the decision module that share nothing, and speaks the bench's wire
// on standard input and output.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"pewterwheel/decide"
	"pewterwheel/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	h := host{nodes: map[int64]*decide.Node{}}
	for {
		line, err := r.ReadBytes('\n')
		if text := bytes.TrimSpace(line); len(text) > 0 {
			reply, herr := h.batch(text)
			if herr != nil {
				return herr
			}
			if _, werr := out.Write(reply); werr != nil {
				return fmt.Errorf("writing a reply: %w", werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading a batch: %w", err)
		}
	}
}

// host keeps the nodes of this process. Lists belong to the process, all else to a node.
type host struct {
	nodes map[int64]*decide.Node
	lists [wire.Sheets][]decide.Listed
	acts  []decide.Action
}

func (h *host) batch(line []byte) ([]byte, error) {
	b, err := wire.Decode(line)
	if err != nil {
		return nil, err
	}
	reply := wire.Reply{Frame: b.Frame}
	for _, p := range b.Parts {
		actions, err := h.part(b.Now, p)
		if err != nil {
			return nil, fmt.Errorf("batch %d: node %d: %w", b.Frame, p.Node, err)
		}
		if len(actions) > 0 {
			reply.Parts = append(reply.Parts, wire.ReplyPart{Node: p.Node, Actions: actions})
		}
	}
	return wire.Encode(reply)
}

// part plays one node's events. What a node killed in this batch still wanted is dropped with it.
func (h *host) part(now int64, p wire.Part) ([]any, error) {
	h.acts = h.acts[:0]
	for _, ev := range p.Events {
		switch ev.Kind {
		case wire.Manifest:
			h.lists[ev.Sheet] = ev.Rows
		case wire.Teardown:
			delete(h.nodes, p.Node)
			h.acts = h.acts[:0]
		case wire.Init:
			node, err := decide.New(ev.Settings, ev.Seed)
			if err != nil {
				return nil, fmt.Errorf("field settings: %w", err)
			}
			h.nodes[p.Node] = node
			if text := h.step(node, now, decide.Event{Kind: decide.NodeStarted}); text != "" {
				return []any{wire.Broken(text)}, nil
			}
		default:
			node := h.nodes[p.Node]
			if node == nil {
				return nil, errors.New("event before INIT")
			}
			e := ev.Event
			if ev.Kind == wire.Update && e.Form != decide.ListFailed {
				if e.Servers = h.lists[ev.Sheet]; e.Servers == nil {
					return nil, fmt.Errorf("field sheet: list %d was never given", ev.Sheet)
				}
			}
			if text := h.step(node, now, e); text != "" {
				return []any{wire.Broken(text)}, nil
			}
		}
	}
	return messages(h.acts)
}

// step plays one event and returns the text of a panic, if there was one.
func (h *host) step(node *decide.Node, now int64, e decide.Event) (broken string) {
	defer func() {
		if p := recover(); p != nil {
			broken = fmt.Sprint("panic: ", p)
		}
	}()
	h.acts = node.Step(now, e, h.acts)
	return ""
}

func messages(acts []decide.Action) ([]any, error) {
	var out []any
	for _, a := range acts {
		m, err := wire.Action(a)
		if err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, nil
}
