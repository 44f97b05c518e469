package emulator

import (
	"context"
	"time"

	"topazpulley/internal/failure"
	"topazpulley/internal/storage"
)

// InProcess provides a platform's services without HTTP, for property tests and tools in
// the same process.
type InProcess struct {
	Platform *Platform
	// LoseAnswer is called after each transaction and reports whether its answer is lost;
	// nil means never.
	LoseAnswer func() bool
}

func (p *InProcess) answerLoss() error {
	if p.LoseAnswer != nil && p.LoseAnswer() {
		return failure.New(failure.KindUnavailable, "answer_lost", "the answer was lost after the effect")
	}
	return nil
}

// Transact implements storage.Table.
func (p *InProcess) Transact(_ context.Context, transaction storage.Transaction) (storage.Version, error) {
	result := p.Platform.Transact(transaction)
	if err := p.answerLoss(); err != nil {
		return 0, err
	}
	if !result.Committed {
		return 0, &storage.ConflictError{Rows: result.Conflicts}
	}
	return result.Version, nil
}

// Get implements storage.Table.
func (p *InProcess) Get(_ context.Context, key string) (storage.Row, error) {
	return p.Platform.row(key), nil
}

// Scan implements storage.Table.
func (p *InProcess) Scan(_ context.Context, request storage.ScanRequest) ([]storage.Row, error) {
	return p.Platform.scan(request), nil
}

// Put implements storage.Objects.
func (p *InProcess) Put(_ context.Context, name string, content []byte) error {
	p.Platform.mutex.Lock()
	defer p.Platform.mutex.Unlock()
	if _, exists := p.Platform.objects[name]; !exists {
		p.Platform.objects[name] = append([]byte(nil), content...)
	}
	return nil
}

// GetObject implements storage.Objects.
func (p *InProcess) GetObject(_ context.Context, name string) ([]byte, error) {
	p.Platform.mutex.Lock()
	defer p.Platform.mutex.Unlock()
	content, exists := p.Platform.objects[name]
	if !exists {
		return nil, failure.New(failure.KindNotFound, "no_object", "object %s does not exist", name)
	}
	return content, nil
}

// GetRange implements storage.Objects.
func (p *InProcess) GetRange(ctx context.Context, name string, offset, length int64) ([]byte, error) {
	content, err := p.GetObject(ctx, name)
	if err != nil {
		return nil, err
	}
	return content[offset : offset+length], nil
}

// List implements storage.Machines.
func (p *InProcess) List(context.Context) ([]storage.Machine, error) {
	return p.Platform.machineList(time.Now()), nil
}
